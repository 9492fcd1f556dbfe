import type {ControlId, Instant} from '#model';
import type {Progress} from './progress.js';
import type {Rounds} from './round.js';
import type {Ticket} from './transition.js';

/** A read that waits until the leader is known to lead still. */
export interface PendingRead {
  readonly ticket: Ticket;
  /** A quorum must reply to this round; unset until one has begun for it. */
  readonly round?: number;
}

/** A leader that hands over writes nothing new until its successor stands or the deadline passes. */
export interface Transfer {
  readonly to: ControlId;
  readonly deadline: Instant;
}

/** What only a leader knows. It ends with the leader's term. */
export interface Leadership {
  /** The first entry of the term; changes and reads wait until it is committed. */
  readonly firstIndex: number;
  readonly electedAt: Instant;
  readonly rounds: Rounds;
  /** All other members. */
  readonly progress: Map<ControlId, Progress>;
  transfer: Transfer | undefined;
  /** Set once a successor was asked to stand: from then on it may be elected at any time. */
  leaseEnded: boolean;
  reads: readonly PendingRead[];
  heartbeatDueAt: Instant;
  /** What was committed at the last heartbeat: a learner with less is not caught up. */
  commitAtHeartbeat: number;
}
