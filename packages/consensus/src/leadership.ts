import type {ControlId, Instant} from '#model';
import type {Progress} from './progress.js';
import type {Rounds} from './round.js';
import type {Ticket} from './transition.js';

/** A linearizable read that waits for the leader to confirm its leadership. */
export interface PendingRead {
  readonly ticket: Ticket;
  /** The round that a quorum must reply to; unset until one has begun for this read. */
  readonly round?: number;
}

/** A leadership transfer. The leader refuses writes until it steps down or the deadline passes. */
export interface Transfer {
  readonly to: ControlId;
  readonly deadline: Instant;
}

/** Volatile state of a leader, discarded when it steps down. */
export interface Leadership {
  /** First entry of the term. Until it is committed, reads wait and membership changes are refused. */
  readonly firstIndex: number;
  readonly electedAt: Instant;
  readonly rounds: Rounds;
  /** Replication progress of all other members. */
  readonly progress: Map<ControlId, Progress>;
  transfer: Transfer | undefined;
  /** Set once a successor has been asked to start an election, which it may win at any time. */
  leaseEnded: boolean;
  reads: readonly PendingRead[];
  heartbeatDueAt: Instant;
  /** The commit index at the last heartbeat. A learner with a lower match index is not caught up. */
  commitAtHeartbeat: number;
}
