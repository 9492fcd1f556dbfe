import type {Address, QueueConfig, QueuedJob} from '#model';

/** Asks the registrar of a job to note who runs it. */
export interface ClaimJobParams {
  readonly job: string;
  /** Where the dispatcher that claims it listens. */
  readonly claimant: Address;
  /** The owner that the claimant knows to have given the job up. */
  readonly replaces?: Address;
}

export interface ClaimJobResult {
  /** Who runs the job now: the claimant, or the one that claimed it before. */
  readonly owner: Address;
  /** How late the registrar's event loop is, in ms: it tells who could take work from whom. */
  readonly lagMs?: number;
}

/** Hands a job to a dispatcher with processor time to spare. It becomes the owner. */
export interface RelayJobParams {
  readonly job: QueuedJob;
  readonly queue: QueueConfig;
  /** How long ago the job arrived, in ms. */
  readonly ageMs: number;
  /** How long its caller stays, in ms. */
  readonly remainingMs: number;
}

/** What became of a job that was handed on. */
export type RelayJobResult =
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      readonly detail: string;
    }
  | {readonly kind: 'expired'};

export interface FollowJobParams {
  readonly job: string;
  /** How long the answer may wait for the job's end, in ms. */
  readonly remainingMs: number;
}

export type FollowJobResult =
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  /** Given up: nothing of it runs any more. */
  | {readonly kind: 'closed'}
  /** This life of the dispatcher has not had it, or has forgotten it. */
  | {readonly kind: 'unknown'};

/** The caller of a relayed job has left. */
export interface AbandonJobParams {
  readonly job: string;
}
