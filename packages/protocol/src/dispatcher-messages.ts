import type {Address, QueueConfig, QueuedJob, ServiceName} from '#model';

/** Asks a registrar of a job, a dispatcher that records its owner, to record the claimant as the owner. */
export interface ClaimJobParams {
  readonly job: string;
  /** Address of the claiming dispatcher. */
  readonly claimant: Address;
  /** Identifies its process among those at its address; unset by builds that do not send it. */
  readonly claimantLife?: number;
  /** A previous owner that the claimant knows to have given up the job. */
  readonly replaces?: Address;
  /** Identifies the process of `replaces`, as its claim did. */
  readonly replacesLife?: number;
  /** The service whose targets run the job. */
  readonly service: ServiceName;
  /** True to learn the owner without becoming it. */
  readonly isQuery?: boolean;
}

export interface ClaimJobResult {
  /** The dispatcher that runs the job now: the claimant or an earlier one. */
  readonly owner: Address;
  /** Identifies the owner's process, as its claim did. */
  readonly ownerLife?: number;
  /** How long the registrar's process has kept claims, in ms; unset by builds that do not send it. */
  readonly knownForMs?: number;
  /** Event loop lag of the registrar, in ms. A dispatcher relays jobs only to one with much less lag than its own. */
  readonly lagMs?: number;
  /** Backlog of the job's service at the registrar, in millicore-milliseconds. */
  readonly waitingCoreMs?: number;
}

/** Transfers ownership of a job to a dispatcher with spare CPU time. */
export interface RelayJobParams {
  readonly job: QueuedJob;
  readonly queue: QueueConfig;
  /** Time since the job arrived, in ms. */
  readonly ageMs: number;
  /** How long the caller will still wait, in ms. */
  readonly remainingMs: number;
  /** True when the sender knows the end `cancelled`; others are told `expired`. */
  readonly knowsCancelled?: boolean;
}

/** Why a job was refused, or accepted but not run. */
export type RefusalCause =
  /** The dispatcher is shutting down. */
  | 'leaving'
  /** The dispatcher's process is at its CPU limit. */
  | 'saturated'
  /** The dispatcher is connected to no target of the service. */
  | 'no-target'
  /** The backlog is too long for the targets to get to the job in time. */
  | 'backlog'
  /** No capacity became free while the answer was still useful. */
  | 'no-room';

/** The outcome of a relayed job. */
export interface RelayJobResult {
  readonly end: JobEnd;
  /** Jobs of its queue at the dispatcher that have no task placed. */
  readonly waiting: number;
}

/** How a job ended. */
export type JobEnd =
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  /** Its caller has cancelled it. */
  | {readonly kind: 'cancelled'}
  /** No task of the job has run or will run. */
  | {
      readonly kind: 'refused';
      readonly cause: RefusalCause;
      readonly retryAfterMs: number;
      readonly detail: string;
    }
  /** The caller's deadline passed first; some tasks may have run. */
  | {readonly kind: 'expired'};

export interface FollowJobParams {
  readonly job: string;
  /** How long to wait for the job to end, in ms. */
  readonly remainingMs: number;
}

export type FollowJobResult =
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  | {readonly kind: 'cancelled'}
  /** Given up; no part of it is still running. */
  | {readonly kind: 'closed'}
  /** The dispatcher has not had the job since its last start, or no longer remembers it. */
  | {readonly kind: 'unknown'};

/** Asks a dispatcher to cancel a job for its caller, wherever it runs. */
export interface CancelJobParams {
  readonly job: string;
  /** The service whose targets run the job. */
  readonly service: ServiceName;
  /** How long the caller will still wait, in ms. */
  readonly remainingMs: number;
}

export type CancelJobResult =
  /** It had not ended, and none of its tasks starts any more. */
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'ended'}
  /** No dispatcher in reach has it; a later submission of it is answered as cancelled. */
  | {readonly kind: 'unknown'}
  /** Some of its tasks may still start: a target or its owner is out of reach. */
  | {readonly kind: 'uncertain'};

/** The caller of a relayed job has disconnected. */
export interface AbandonJobParams {
  readonly job: string;
}
