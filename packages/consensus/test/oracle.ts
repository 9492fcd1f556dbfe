import assert from 'node:assert/strict';
import {
  computeQuorum,
  type LogEntry,
  type Members,
  type Message,
  type ReplicaStatus,
} from '#consensus';
import type {MemoryDisk} from './disk.js';

const maxFloors = 10;

/** What must hold whatever fails; each violation throws. */
export class Oracle {
  /** Commit indexes seen over the last heartbeats, for the rule of promotion. */
  private readonly floors: number[] = [];
  readonly leaders = new Map<number, string>();
  /** By index, the digest of all committed entries up to it. */
  private digests = [0];
  private terms = [0];
  /** The last index that a client knows: of a write acknowledged or a read answered. */
  seenIndex = 0;
  acknowledged: {readonly index: number; readonly command: string}[] = [];
  private commands: (string | undefined)[] = [undefined];

  /** With `checkSteps` also how replicas go about it, not only what it leads to. */
  constructor(private readonly checkSteps: boolean) {}

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
    if (!this.checkSteps) return;
    const voters = members.filter(member => member.voter);
    const holders = voters.filter(voter =>
      findDisk(voter.id)?.has(entry.index, entry.term),
    );
    assert.ok(
      holders.length >= computeQuorum(voters.length),
      `entry ${entry.index} committed on ${holders.length} of ${voters.length} disks`,
    );
  }

  /** A vote, or that entries are held, is told only when it is on the disk. */
  checkSent(id: string, disk: MemoryDisk, to: string, message: Message): void {
    if (!this.checkSteps) return;
    if (message.kind === 'vote-reply') {
      if (!message.granted || message.preliminary) return;
      const {term, vote} = disk.hardState;
      assert.ok(
        term === message.term && vote === to,
        `${id} told a vote in term ${message.term} before its sync`,
      );
    }
    if (message.kind !== 'append-accepted') return;
    assert.ok(
      disk.lastIndex >= message.matchIndex,
      `${id} told of entry ${message.matchIndex} before its sync`,
    );
  }

  /** A leader commits by counting only what it wrote itself. */
  checkCommit({id, role, term}: ReplicaStatus, last: LogEntry): void {
    if (!this.checkSteps || role !== 'leader') return;
    assert.equal(
      last.term,
      term,
      `${id} committed entry ${last.index} of an earlier term`,
    );
  }

  /** A learner becomes a voter only with what was committed some heartbeats ago on its disk. */
  checkPromotion(id: string, lastIndex: number): void {
    if (!this.checkSteps) return;
    assert.ok(
      lastIndex >= this.floors[0],
      `${id} was promoted with ${lastIndex} of ${this.floors[0]} entries`,
    );
  }

  /** Called once a heartbeat. */
  trackFloor(): void {
    this.floors.push(this.committedIndex);
    if (this.floors.length > maxFloors) this.floors.shift();
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
