import type {Either} from 'purify-ts';
import type {Room, RunRef, ServiceName, TargetId} from '#model';

/** An executor as it last announced itself. */
export interface ExecutorInfo {
  readonly target: TargetId;
  /** Grows with each start of the executor; a later one knows nothing of the earlier. */
  readonly incarnation: number;
  readonly service: ServiceName;
  readonly room: Room;
  readonly draining: boolean;
}

export interface StartOrder {
  readonly ref: RunRef;
  readonly payload: string;
  /** Orders with a lower fence than one seen are refused. */
  readonly fence: number;
  /** The executor ends everything this long after the order was sent, unless the lease is renewed. */
  readonly leaseMs: number;
}

export type StartRefusal =
  /** A higher fence was seen. */
  | 'fenced'
  /** A run as high was stopped or has ended there. */
  | 'outdated'
  /** The order's lease was over when it came. */
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
  /** Unset: asks for the lists alone. */
  readonly leaseMs?: number;
  /** Ends up to this number are forgotten by the executor. */
  readonly acknowledged: number;
  /** The answer waits this long for an end, in ms. */
  readonly waitMs: number;
}

export type EndKind = 'succeeded' | 'failed' | 'stopped' | 'lapsed';

export interface RunningRow {
  readonly ref: RunRef;
  /** Share of the work done, from 0 to 100. */
  readonly percent: number;
}

export interface EndedRow {
  /** Counts the ends of one incarnation from 1. */
  readonly number: number;
  readonly ref: RunRef;
  readonly end: EndKind;
}

export interface ExecutorReport {
  readonly incarnation: number;
  readonly running: readonly RunningRow[];
  readonly ended: readonly EndedRow[];
}

/** How the runner reaches its executor. Every call has a limit of its own and fails as a value. */
export interface ExecutorPort extends AsyncDisposable {
  readonly startRun: (order: StartOrder) => Promise<StartOutcome>;
  /** Left: no answer; the order may still be carried out. */
  readonly stopRun: (
    ref: RunRef,
    fence: number,
  ) => Promise<Either<string, void>>;
  readonly renewLease: (
    request: LeaseRequest,
  ) => Promise<Either<string, ExecutorReport>>;
}
