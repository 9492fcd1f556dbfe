import type {Address, QueueConfig, QueuedJob, ServiceName} from '#model';

/** Asks the registrar of a job to note who runs it. */
export interface ClaimJobParams {
  readonly job: string;
  /** Where the dispatcher that claims it listens. */
  readonly claimant: Address;
  /** The owner that the claimant knows to have given the job up. */
  readonly replaces?: Address;
  /** Whose targets run the job. */
  readonly service: ServiceName;
}

export interface ClaimJobResult {
  /** Who runs the job now: the claimant, or the one that claimed it before. */
  readonly owner: Address;
  /** How late the registrar's event loop is, in ms: it tells who could take work from whom. */
  readonly lagMs?: number;
  /** Work of the job's service that waits at the registrar for a target, in thousandths of a core times ms. */
  readonly waitingCoreMs?: number;
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

/** Why a job was not taken, or not run after all. */
export type RefusalCause =
  /** The dispatcher is about to stop. */
  | 'leaving'
  /** Its process is at the limit of its processor. */
  | 'saturated'
  /** It reaches no target of the service. */
  | 'no-target'
  /** The targets cannot come to it in time. */
  | 'backlog'
  /** No room was found while its answer was of use. */
  | 'no-room';

/** What became of a job that was handed to a dispatcher. */
export interface RelayJobResult {
  readonly end: JobEnd;
  /** Jobs of its queue at the dispatcher of which no task was placed. */
  readonly waiting: number;
}

/** How a job was over. */
export type JobEnd =
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  /** Nothing of it has run, and nothing will. */
  | {
      readonly kind: 'refused';
      readonly cause: RefusalCause;
      readonly retryAfterMs: number;
      readonly detail: string;
    }
  /** Its caller's time was over first; some of it may have run. */
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
