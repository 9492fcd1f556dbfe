import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {assertInvariant, type ControlId, type Instant} from '#model';
import type {HardState, RecoveredState} from './entry.js';
import type {Leadership} from './leadership.js';
import {ReplicaLog} from './log.js';
import {listVoters} from './member.js';
import type {ReplicaOptions} from './options.js';
import {Outbox} from './outbox.js';
import type {Role} from './transition.js';

/** The role of a replica in its current term. */
export type RoleState =
  | {readonly kind: 'follower'; readonly leader?: ControlId}
  | {
      readonly kind: 'candidate';
      /** In the pre-vote phase, before the term is incremented. */
      readonly preliminary: boolean;
      readonly granted: ReadonlySet<ControlId>;
      /** Sequence of the write of its own vote, which counts once that write is synced. */
      readonly voteSequence: number;
    }
  | {readonly kind: 'leader'; readonly leadership: Leadership};

/** A snapshot of which some chunks have been received. */
export interface PartialSnapshot {
  /** The term of the leader that sends it, not of the snapshot. */
  readonly term: number;
  readonly index: number;
  readonly data: Uint8Array;
  readonly receivedBytes: number;
}

/** Replica state shared by all roles. */
export class ReplicaCore {
  readonly log: ReplicaLog;
  readonly outbox = new Outbox();
  hardState: HardState;
  commitIndex: number;
  /** The last log index synced to this replica's disk. */
  durableIndex: number;
  role: RoleState = {kind: 'follower'};
  /**
   * Last contact with a leader. As the leader may hold a lease, no vote is granted for one election
   * timeout from then on.
   */
  lastContactAt: Instant;
  electionDeadline: Instant = 0;
  /** The highest commit index that the leader followed has told; undefined before the first. */
  leaderCommitIndex: number | undefined;
  partialSnapshot: PartialSnapshot | undefined;

  constructor(
    readonly options: ReplicaOptions,
    recovered: RecoveredState,
    now: Instant,
  ) {
    this.log = new ReplicaLog(recovered);
    this.hardState = recovered.hardState;
    this.commitIndex = recovered.snapshot?.index ?? 0;
    this.durableIndex = this.log.lastIndex;
    // The last contact with a leader isn't persisted, so a start counts as a contact.
    this.lastContactAt = now;
    this.setFirstElectionDeadline(now);
  }

  get term(): number {
    return this.hardState.term;
  }

  get isVoter(): boolean {
    return this.voters.includes(this.options.id);
  }

  get voters(): readonly ControlId[] {
    return listVoters(this.log.members);
  }

  get leader(): ControlId | undefined {
    if (this.role.kind === 'leader') return this.options.id;
    return this.role.kind === 'follower' ? this.role.leader : undefined;
  }

  get reportedRole(): Role {
    return this.role.kind === 'follower' && !this.isVoter
      ? 'learner'
      : this.role.kind;
  }

  /**
   * Sets the election deadline after a start to one to one and a half timeouts from now. An earlier
   * election would fail, as no vote in a newer term is granted for one timeout; a later one
   * delays callers, which wait for a leader when the whole group has just started.
   */
  private setFirstElectionDeadline(now: Instant): void {
    const {random, timing} = this.options;
    const timeoutMs = timing.electionTimeoutMs;
    const spreadMs = uniformInt(random, 0, Math.floor(timeoutMs / 2));
    this.electionDeadline = now + timeoutMs + spreadMs;
  }

  /** Resets the election deadline to one to two timeouts from now. */
  resetElectionDeadline(now: Instant): void {
    const {random, timing} = this.options;
    const timeoutMs = timing.electionTimeoutMs;
    this.electionDeadline = now + timeoutMs + uniformInt(random, 0, timeoutMs);
  }

  /** Records a newer term, or a vote in the current one. */
  writeHardState(hardState: HardState): void {
    assertInvariant(
      hardState.term >= this.term,
      `term ${hardState.term} is older than the current term ${this.term}`,
    );
    this.hardState = hardState;
    this.outbox.writeHardState(hardState);
  }

  /** Becomes a follower in the current or a newer term. A leader refuses its pending reads. */
  follow(term: number, leader: ControlId | undefined): void {
    if (this.role.kind === 'leader') this.refuseReads(this.role.leadership);
    if (term > this.term) this.writeHardState({term});
    this.leaderCommitIndex = undefined;
    this.role =
      leader === undefined ? {kind: 'follower'} : {kind: 'follower', leader};
  }

  /** Advances the commit index and emits the newly committed entries for application. */
  commit(index: number): void {
    if (index <= this.commitIndex) return;
    assertInvariant(
      index <= this.log.lastIndex,
      `committed entry ${index} is beyond the end of the log at ${this.log.lastIndex}`,
    );
    const entries = this.log.getRange(this.commitIndex, index);
    this.commitIndex = index;
    this.outbox.push({kind: 'apply', entries});
  }

  private refuseReads(leadership: Leadership): void {
    for (const {ticket} of leadership.reads) {
      this.outbox.push({kind: 'refused', ticket, reason: 'not-leader'});
    }
  }
}
