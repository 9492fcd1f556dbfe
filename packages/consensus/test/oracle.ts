import assert from 'node:assert/strict';
import {computeQuorum, type LogEntry, type Members} from '#consensus';
import type {MemoryDisk} from './disk.js';

/** What must hold whatever fails; each violation throws. */
export class Oracle {
  readonly leaders = new Map<number, string>();
  /** By index, the digest of all committed entries up to it. */
  private digests = [0];
  private terms = [0];
  /** The last index that a client knows: of a write acknowledged or a read answered. */
  seenIndex = 0;
  acknowledged: {readonly index: number; readonly command: string}[] = [];
  private commands: (string | undefined)[] = [undefined];

  get committedIndex(): number {
    return this.digests.length - 1;
  }

  getDigest(index: number): number {
    return this.digests[index];
  }

  checkLeader(term: number, id: string): void {
    const known = this.leaders.get(term) ?? id;
    assert.equal(id, known, `term ${term} has leaders ${known} and ${id}`);
    this.leaders.set(term, id);
  }

  /** Each replica applies the same entries in the same order. */
  checkApplied(entry: LogEntry, digestBefore: number): number {
    const digest = hashEntry(digestBefore, entry);
    const {index} = entry;
    if (index === this.digests.length) {
      this.digests.push(digest);
      this.terms.push(entry.term);
      this.commands.push(readCommand(entry));
    }
    assert.equal(digest, this.digests[index], `entry ${index} was altered`);
    return digest;
  }

  /** A newly committed entry is on the disks of a quorum. */
  checkDurable(
    entry: LogEntry,
    members: Members,
    findDisk: (id: string) => MemoryDisk | undefined,
  ): void {
    const voters = members.filter(member => member.voter);
    const holders = voters.filter(voter =>
      findDisk(voter.id)?.has(entry.index, entry.term),
    );
    assert.ok(
      holders.length >= computeQuorum(voters.length),
      `entry ${entry.index} committed on ${holders.length} of ${voters.length} disks`,
    );
  }

  checkAcknowledged(): void {
    for (const {index, command} of this.acknowledged) {
      assert.equal(this.commands[index], command, `write ${command} was lost`);
    }
  }
}

export function readCommand(entry: LogEntry): string | undefined {
  return entry.kind === 'command'
    ? Buffer.from(entry.command).toString('latin1')
    : undefined;
}

function hashEntry(before: number, entry: LogEntry): number {
  const text = `${entry.index} ${entry.term} ${entry.kind} ${readCommand(entry)}`;
  let digest = before;
  for (let i = 0; i < text.length; i++) {
    digest = (Math.imul(digest, 31) + text.charCodeAt(i)) | 0;
  }
  return digest;
}
