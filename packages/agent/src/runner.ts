import {
  assertInvariant,
  type Clock,
  failUnreachable,
  type Instant,
  type TaskResult,
} from '#model';
import {formatTask} from './task-table.js';
import type {RunOutcome, RunRequest, Target} from './target.js';

/** Why a running task is stopped. */
export type StopCause =
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'overrun'; readonly maxTaskMs: number}
  | {readonly kind: 'halted'};

export interface RunEnd {
  readonly fate: TaskResult;
  /** Size of the result in bytes; 0 without one. */
  readonly bytes: number;
  /** Time at the target, in ms. */
  readonly runMs: number;
  /** True when the target could not be reached. */
  readonly unreachable: boolean;
  /** Set when the target stays busy with the task; resolves once it is free. */
  readonly released?: Promise<void>;
}

interface RunningTask {
  readonly request: RunRequest;
  readonly startedAt: Instant;
  readonly abort: AbortController;
  readonly timer: NodeJS.Timeout;
  cause: StopCause | undefined;
  completion: Promise<void> | undefined;
}

/** Runs tasks at the target, stops those that run too long, and reports each outcome once. */
export class Runner {
  private readonly tasks = new Map<string, RunningTask>();

  constructor(
    private readonly target: Target,
    private readonly clock: Clock,
    private readonly onEnd: (request: RunRequest, end: RunEnd) => void,
  ) {}

  get running(): number {
    return this.tasks.size;
  }

  /** Starts a task and stops it after `maxTaskMs`. */
  run(request: RunRequest): void {
    const {maxTaskMs} = request;
    const key = formatTask(request);
    assertInvariant(!this.tasks.has(key), `task ${key} is already running`);
    const task: RunningTask = {
      request,
      startedAt: this.clock.now(),
      abort: new AbortController(),
      timer: setTimeout(
        () => this.stop(key, {kind: 'overrun', maxTaskMs}),
        maxTaskMs,
      ),
      cause: undefined,
      completion: undefined,
    };
    this.tasks.set(key, task);
    task.completion = this.awaitEnd(key, task);
  }

  /** Stops a task, if it runs. `onEnd` follows once the target's `run` resolves. */
  stop(key: string, cause: StopCause): void {
    const task = this.tasks.get(key);
    if (task === undefined || task.cause !== undefined) return;
    task.cause = cause;
    task.abort.abort(cause);
  }

  /** Stops every task because the agent shuts down, and waits for all of them. */
  async stopAll(): Promise<void> {
    for (const key of this.tasks.keys()) this.stop(key, {kind: 'halted'});
    await Promise.all(
      [...this.tasks.values()].map(({completion}) => completion),
    );
  }

  private async awaitEnd(key: string, task: RunningTask): Promise<void> {
    const outcome = await this.target.run(task.request, task.abort.signal);
    clearTimeout(task.timer);
    this.tasks.delete(key);
    this.onEnd(task.request, {
      fate: interpretOutcome(outcome, task.cause),
      bytes: outcome.kind === 'succeeded' ? outcome.bytes : 0,
      runMs: Math.max(0, this.clock.now() - task.startedAt),
      unreachable: outcome.kind === 'not-run' && task.cause === undefined,
      ...(outcome.kind === 'stopped' && {released: outcome.released}),
    });
  }
}

/** Combines how a task ended at the target with why it was stopped, if it was. */
export function interpretOutcome(
  outcome: RunOutcome,
  cause: StopCause | undefined,
): TaskResult {
  switch (outcome.kind) {
    case 'succeeded':
      return {kind: 'succeeded', result: outcome.result};
    case 'failed':
      return cause === undefined
        ? {kind: 'failed', detail: outcome.detail}
        : describeStop(cause);
    case 'not-run':
      return {
        kind: 'not-run',
        reason: cause?.kind === 'cancelled' ? 'cancelled' : 'target-down',
      };
    case 'unknown':
      return {kind: 'unknown', detail: outcome.detail};
    case 'stopped':
      assertInvariant(cause !== undefined, 'a stopped task must have a cause');
      return describeStop(cause);
    default:
      return failUnreachable(outcome);
  }
}

function describeStop(cause: StopCause): TaskResult {
  switch (cause.kind) {
    case 'cancelled':
      return {kind: 'cancelled'};
    case 'overrun':
      return {
        kind: 'failed',
        detail: `stopped after ${cause.maxTaskMs} ms, the longest that a task may run`,
      };
    case 'halted':
      return {kind: 'unknown', detail: 'the agent ended before the task'};
    default:
      return failUnreachable(cause);
  }
}
