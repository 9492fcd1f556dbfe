import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {assertInvariant, type ControlId, type Instant} from '#model';
import type {HardState, RecoveredState} from './entry.js';
import type {Leadership} from './leadership.js';
import {ReplicaLog} from './log.js';
import {listVoters} from './member.js';
import type {ReplicaOptions} from './options.js';
import {Outbox} from './outbox.js';
import type {Role} from './transition.js';

/** What a replica does in its term. */
export type RoleState =
  | {readonly kind: 'follower'; readonly leader?: ControlId}
  | {
      readonly kind: 'candidate';
      /** Asks whether an election could be won, before the term is raised. */
      readonly preliminary: boolean;
      readonly granted: ReadonlySet<ControlId>;
      /** The own vote counts once this write is synced. */
      readonly voteSequence: number;
    }
  | {readonly kind: 'leader'; readonly leadership: Leadership};

/** A snapshot that is being received. */
export interface PartialSnapshot {
  readonly term: number;
  readonly index: number;
  readonly data: Uint8Array;
  readonly receivedBytes: number;
}

/** The state of a replica that all its roles share. */
export class Core {
  readonly log: ReplicaLog;
  readonly outbox = new Outbox();
  hardState: HardState;
  commitIndex: number;
  /** The last index on this replica's own disk. */
  durableIndex: number;
  role: RoleState = {kind: 'follower'};
  /** No vote is given within an election timeout from here: a leader may hold a lease. */
  contactAt: Instant;
  electionDeadline: Instant = 0;
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
    // A restart forgets the last contact with a leader, so it counts as one.
    this.contactAt = now;
    this.deferFirstElection(now);
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

  get publicRole(): Role {
    return this.role.kind === 'follower' && !this.isVoter
      ? 'learner'
      : this.role.kind;
  }

  /**
   * Sets the election deadline after a start, up to half a timeout after votes may be given: where
   * all replicas have just started, nobody leads and callers wait.
   */
  private deferFirstElection(now: Instant): void {
    const {random, timing} = this.options;
    const timeoutMs = timing.electionTimeoutMs;
    const spreadMs = uniformInt(random, 0, Math.floor(timeoutMs / 2));
    this.electionDeadline = now + timeoutMs + spreadMs;
  }

  /** Sets the election deadline anew: one to two timeouts from now. */
  deferElection(now: Instant): void {
    const {random, timing} = this.options;
    const timeoutMs = timing.electionTimeoutMs;
    this.electionDeadline = now + timeoutMs + uniformInt(random, 0, timeoutMs);
  }

  /** Writes a newer term, or a vote in the present one. */
  writeHardState(hardState: HardState): void {
    assertInvariant(
      hardState.term >= this.term,
      `term ${hardState.term} is older than ${this.term}`,
    );
    this.hardState = hardState;
    this.outbox.writeHardState(hardState);
  }

  /** Becomes a follower in a term that is not older than the present one. */
  follow(term: number, leader: ControlId | undefined): void {
    if (this.role.kind === 'leader') this.refuseReads(this.role.leadership);
    if (term > this.term) this.writeHardState({term});
    this.role =
      leader === undefined ? {kind: 'follower'} : {kind: 'follower', leader};
  }

  /** Takes note that entries up to an index are committed, and has them applied. */
  commit(index: number): void {
    if (index <= this.commitIndex) return;
    assertInvariant(
      index <= this.log.lastIndex,
      `committed entry ${index} is not in a log that ends at ${this.log.lastIndex}`,
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
