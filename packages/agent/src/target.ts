import type {ResourceDemand, TaskRef} from '#model';

/** How a task ended at the target. */
export type RunOutcome =
  | {
      readonly kind: 'succeeded';
      readonly result: unknown;
      /** Size of the result as the target sent it. */
      readonly bytes: number;
    }
  | {readonly kind: 'failed'; readonly detail: string}
  /** The target provably never saw the task. */
  | {readonly kind: 'not-run'; readonly detail: string}
  /** The target had the task and nothing tells how it ended. */
  | {readonly kind: 'unknown'; readonly detail: string}
  /** Ended by the signal. Where the target goes on, it is busy with the task until `released`. */
  | {readonly kind: 'stopped'; readonly released?: Promise<void>};

export interface RunRequest extends TaskRef {
  readonly payload: unknown;
  /** What the task may use of a worker. */
  readonly demand: ResourceDemand;
  /** The task is stopped once it has run this long, in ms. */
  readonly maxTaskMs: number;
}

/** The back end beside this agent. */
export interface Target extends AsyncDisposable {
  /**
   * Runs a task once and waits for its end; an abort of the signal stops it. The
   * reason of the abort is a `StopCause`.
   */
  readonly run: (
    request: RunRequest,
    signal: AbortSignal,
  ) => Promise<RunOutcome>;
  /** Resolves with whether the target answers and is free of tasks that are not this agent's. */
  readonly checkHealth: () => Promise<boolean>;
}

/** The largest answer accepted from a target, in bytes. */
export const maxResultBytes = 8 * 1024 * 1024;
