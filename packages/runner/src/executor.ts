import type {Either} from 'purify-ts';
import type {ResourceCapacity, RunRef, ServiceName, TargetId} from '#model';

/** An executor as it last announced itself. */
export interface ExecutorInfo {
  readonly target: TargetId;
  /** Increases at each start of the executor, which keeps no state of earlier incarnations. */
  readonly incarnation: number;
  readonly service: ServiceName;
  readonly room: ResourceCapacity;
  readonly draining: boolean;
}

export interface StartRequest {
  readonly ref: RunRef;
  readonly payload: string;
  /** The executor refuses requests with a lower fence than the highest it has seen. */
  readonly fence: number;
  /** The executor ends all its runs this long after the request was sent, unless the lease is renewed. */
  readonly leaseMs: number;
}

export type StartRefusal =
  /** The executor has seen a higher fence. */
  | 'fenced'
  /** The same or a later run of the task has been stopped or has ended there. */
  | 'outdated'
  /** The request's lease had expired on arrival. */
  | 'late'
  | 'no-room'
  | 'invalid'
  | 'unhealthy'
  /** Another incarnation answered. */
  | 'replaced';

/** Only `unanswered` leaves open whether the run began. */
export type StartOutcome =
  | {readonly kind: 'started'}
  | {readonly kind: 'refused'; readonly reason: StartRefusal}
  | {readonly kind: 'unanswered'; readonly detail: string};

export interface LeaseRequest {
  readonly fence: number;
  /** Unset: fetches the report without renewing the lease. */
  readonly leaseMs?: number;
  /** The executor removes outcomes up to this number from its report. */
  readonly acknowledged: number;
  /** How long the answer may be delayed until a run ends, in ms. */
  readonly waitMs: number;
}

export type ExecutorRunEnd = 'succeeded' | 'failed' | 'stopped' | 'lapsed';

export interface ExecutorRunningRun {
  readonly ref: RunRef;
  /** Share of the work done, from 0 to 100. */
  readonly percent: number;
}

export interface ExecutorEndedRun {
  /** Sequence number of the outcome within an incarnation, from 1. */
  readonly number: number;
  readonly ref: RunRef;
  readonly end: ExecutorRunEnd;
}

export interface ExecutorReport {
  readonly incarnation: number;
  readonly running: readonly ExecutorRunningRun[];
  readonly ended: readonly ExecutorEndedRun[];
}

/** The runner's connection to its executor. Every call has its own timeout and reports failures in its result. */
export interface ExecutorPort extends AsyncDisposable {
  readonly startRun: (request: StartRequest) => Promise<StartOutcome>;
  /** Left: no answer; the stop may still take effect. */
  readonly stopRun: (
    ref: RunRef,
    fence: number,
  ) => Promise<Either<string, void>>;
  readonly renewLease: (
    request: LeaseRequest,
  ) => Promise<Either<string, ExecutorReport>>;
}
