import type {Address} from '#model';

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
}

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
