import assert from 'node:assert/strict';
import {
  computeQuorum,
  type LogEntry,
  type Members,
  type Message,
  type ReplicaStatus,
} from '#consensus';
import type {MemoryDisk} from './disk.js';

const maxRecentCommits = 10;

/** Checks invariants that must hold under any faults; throws on a violation. */
export class InvariantChecker {
  /** Commit indexes at the last heartbeats, to check promotions. */
  private readonly recentCommits: number[] = [];
  readonly leaders = new Map<number, string>();
  /** Digest of all committed entries up to each index. */
  private digests = [0];
  /** The highest index that a client has observed by an acknowledged write or a read. */
  seenIndex = 0;
  acknowledged: {readonly index: number; readonly command: string}[] = [];
  private commands: (string | undefined)[] = [undefined];
  /** The ids of the last committed members; undefined before the first entry is applied. */
  private memberIds: ReadonlySet<string> | undefined;

  /** With `checkSteps` also checks single commits, messages and promotions. */
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
    assert.ok(
      this.memberIds?.has(id) !== false,
      `${id} leads in term ${term} after its removal was committed`,
    );
  }

  /** All replicas apply the same entries in the same order. Returns the new digest. */
  checkApplied(entry: LogEntry, digestBefore: number): number {
    const digest = hashEntry(digestBefore, entry);
    const {index} = entry;
    if (index === this.digests.length) {
      this.digests.push(digest);
      this.commands.push(readCommand(entry));
      if (entry.kind === 'members') {
        this.memberIds = new Set(entry.members.map(({id}) => id));
      }
    }
    assert.equal(
      digest,
      this.digests[index],
      `entry ${index} differs between replicas`,
    );
    return digest;
  }

  /** A newly committed entry is synced on a quorum of voters. */
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

  /** Votes and acknowledgements of entries are sent only after the sync. */
  checkSent(id: string, disk: MemoryDisk, to: string, message: Message): void {
    if (!this.checkSteps) return;
    if (message.kind === 'vote-reply') {
      if (!message.granted || message.preliminary) return;
      const {term, vote} = disk.hardState;
      assert.ok(
        term === message.term && vote === to,
        `${id} sent a vote in term ${message.term} before its sync`,
      );
    }
    if (message.kind !== 'append-accepted') return;
    assert.ok(
      disk.lastIndex >= message.matchIndex,
      `${id} acknowledged entry ${message.matchIndex} before its sync`,
    );
  }

  /** A leader's commit index always lies on an entry of its own term. */
  checkCommit({id, role, term}: ReplicaStatus, last: LogEntry): void {
    if (!this.checkSteps || role !== 'leader') return;
    assert.equal(
      last.term,
      term,
      `${id} committed entry ${last.index} of an earlier term`,
    );
  }

  /** A learner is promoted only if all entries committed some heartbeats ago are on its disk. */
  checkPromotion(id: string, lastIndex: number): void {
    if (!this.checkSteps) return;
    assert.ok(
      lastIndex >= this.recentCommits[0],
      `${id} was promoted with ${lastIndex} of ${this.recentCommits[0]} entries`,
    );
  }

  /** A group repairs itself by removing one of an odd number of voters only for a learner that has caught up. */
  checkRemoval(
    id: string,
    members: Members,
    findDisk: (id: string) => MemoryDisk | undefined,
  ): void {
    const voters = members.filter(({voter}) => voter);
    const isVoter = voters.some(voter => voter.id === id);
    if (!this.checkSteps || !isVoter || voters.length % 2 === 0) return;
    const learners = members.filter(({voter}) => !voter);
    const isCaughtUp = learners.some(
      learner =>
        (findDisk(learner.id)?.lastIndex ?? 0) >= this.recentCommits[0],
    );
    assert.ok(isCaughtUp, `${id} was removed while no learner had caught up`);
  }

  /** Records the commit index; to be called once per heartbeat interval. */
  recordCommitIndex(): void {
    this.recentCommits.push(this.committedIndex);
    if (this.recentCommits.length > maxRecentCommits)
      this.recentCommits.shift();
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
