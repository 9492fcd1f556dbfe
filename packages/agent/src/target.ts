import type {ResourceDemand, TaskRef} from '#model';

/** The outcome of running a task at the target. */
export type RunOutcome =
  | {
      readonly kind: 'succeeded';
      readonly result: unknown;
      /** Size of the result as the target sent it. */
      readonly bytes: number;
    }
  | {readonly kind: 'failed'; readonly detail: string}
  /** The target cannot have seen the task. */
  | {readonly kind: 'not-run'; readonly detail: string}
  /** The target may have run the task; its outcome is unknown. */
  | {readonly kind: 'unknown'; readonly detail: string}
  /** Stopped by the signal. If the target cannot stop the task, it stays busy until `released`. */
  | {readonly kind: 'stopped'; readonly released?: Promise<void>};

export interface RunRequest extends TaskRef {
  readonly payload: unknown;
  /** Resources that the task may use at a worker. */
  readonly demand: ResourceDemand;
  /** Longest run time, in ms; the task is stopped after it. */
  readonly maxTaskMs: number;
}

/** The back end that this agent runs tasks on. */
export interface Target extends AsyncDisposable {
  /**
   * Runs a task at most once and waits for its end. Aborting the signal stops
   * it; the abort reason is a `StopCause`.
   */
  readonly run: (
    request: RunRequest,
    signal: AbortSignal,
  ) => Promise<RunOutcome>;
  /** Resolves with whether the target responds and is free of tasks that this agent didn't start. */
  readonly checkHealth: () => Promise<boolean>;
}

/** Largest response accepted from a target, in bytes. */
export const maxResultBytes = 8 * 1024 * 1024;
