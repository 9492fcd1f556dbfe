import type {Pool} from 'undici';
import {type Clock, failUnreachable, type Instant} from '#model';
import {
  type GuardedTask,
  type GuardAction,
  chooseGuardAction,
  updateUsage,
} from '#policy';
import type {Logger} from '#telemetry';
import {interpretResponse, parseObject} from './response.js';
import {type HttpOutcome, openPool, sendRequest} from './http.js';
import {formatTask} from './task-table.js';
import {
  maxResultBytes,
  type RunOutcome,
  type RunRequest,
  type Target,
} from './target.js';
import {parseUsage, type UsageReport} from './usage.js';

export interface WorkerOptions {
  readonly url: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** Longest silence on a connection before the request fails, in ms. */
  readonly responseTimeoutMs: number;
  /** Interval between checks of the running tasks and their leases, in ms. */
  readonly guardIntervalMs: number;
}

/** The worker stops a task when its lease has not been renewed for this long. */
const taskLeaseMs = 3000;
/** A lease is renewed once it has less than this left, in ms. */
const renewalThresholdMs = 2000;
const maxConnections = 1100;
/** Applies to every request except the one that runs a task. */
const commandTimeoutMs = 1000;
/** How long to wait for the response of a stopped task before aborting the request. */
const stopTimeoutMs = 2000;
const statusConflict = 409;

interface RunningTask {
  readonly request: RunRequest;
  guarded: GuardedTask;
  leaseDeadline: Instant;
  /** Why the guard stopped the task, if it did. */
  stopCause?: string;
}

/**
 * A back end that offers cores, memory and accelerators. Each task runs under a
 * lease that the agent renews, so that it stops soon after the agent has failed.
 * The agent throttles, checkpoints or stops tasks based on the worker's usage
 * reports, which lag behind the actual usage.
 */
export class Worker implements Target {
  private readonly pool: Pool;
  private readonly runningTasks = new Map<string, RunningTask>();
  private readonly guardTimer: NodeJS.Timeout;
  private readonly openedAt: Instant;
  private isGuarding = false;

  constructor(private readonly options: WorkerOptions) {
    this.openedAt = options.clock.now();
    this.pool = openPool(
      options.url,
      maxConnections,
      options.responseTimeoutMs,
    );
    this.guardTimer = setInterval(
      () => void this.guardTasks(),
      options.guardIntervalMs,
    );
    this.guardTimer.unref();
  }

  async run(request: RunRequest, signal: AbortSignal): Promise<RunOutcome> {
    const key = formatTask(request);
    const now = this.options.clock.now();
    const task: RunningTask = {
      request,
      leaseDeadline: now + taskLeaseMs,
      guarded: {
        demand: request.demand,
        runDeadline: now + request.maxTaskMs,
        canCheckpoint: true,
        throttled: false,
      },
    };
    this.runningTasks.set(key, task);
    const requestAbort = new AbortController();
    const onAbort = () => void this.stopTask(key, requestAbort);
    signal.addEventListener('abort', onAbort);
    const outcome = await this.submit(request, requestAbort.signal);
    signal.removeEventListener('abort', onAbort);
    if (outcome.kind === 'broken') await this.sendCommand('DELETE', key, '');
    this.runningTasks.delete(key);
    return interpretOutcome(outcome, signal.aborted, task.stopCause);
  }

  async checkHealth(): Promise<boolean> {
    const askedAt = this.options.clock.now();
    const report = await this.fetchUsage();
    if (report === undefined) return false;
    if (this.runningTasks.size > 0) return true;
    const orphans = report.tasks.map(formatTask);
    // A report from before this process started may lack the last tasks that
    // an earlier incarnation started.
    const isOutdated = askedAt - report.ageMs < this.openedAt;
    if (orphans.length === 0) return !isOutdated;
    this.options.log.warn(
      {event: 'strangers', tasks: orphans.length},
      'worker still runs tasks of an earlier incarnation of this agent; stopping them',
    );
    await Promise.all(orphans.map(key => this.sendCommand('DELETE', key, '')));
    return false;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.guardTimer);
    await this.pool.destroy();
  }

  private submit(
    {job, task, payload, demand}: RunRequest,
    signal: AbortSignal,
  ): Promise<HttpOutcome> {
    return sendRequest(this.pool, {
      method: 'POST',
      path: '/tasks',
      body: {job, task, payload, leaseMs: taskLeaseMs, ...demand},
      signal,
      maxBytes: maxResultBytes,
    });
  }

  /** Asks the worker to stop a task; aborts the task's request if no response follows in time. */
  private async stopTask(
    key: string,
    requestAbort: AbortController,
  ): Promise<void> {
    const timer = setTimeout(() => requestAbort.abort(), stopTimeoutMs);
    timer.unref();
    await this.sendCommand('DELETE', key, '');
  }

  private async guardTasks(): Promise<void> {
    if (this.isGuarding || this.runningTasks.size === 0) return;
    this.isGuarding = true;
    try {
      this.renewLeases();
      const now = this.options.clock.now();
      for (const usage of (await this.fetchUsage())?.tasks ?? []) {
        const task = this.runningTasks.get(formatTask(usage));
        if (task === undefined) continue;
        const {ageMs, ...used} = usage;
        task.guarded = updateUsage(task.guarded, {
          ...used,
          measuredAt: now - ageMs,
        });
      }
      await Promise.all(
        [...this.runningTasks].map(([key, task]) => this.guardTask(key, task)),
      );
    } finally {
      this.isGuarding = false;
    }
  }

  private renewLeases(): void {
    const now = this.options.clock.now();
    for (const [key, task] of this.runningTasks) {
      if (task.leaseDeadline - now >= renewalThresholdMs) continue;
      task.leaseDeadline = now + taskLeaseMs;
      void this.sendCommand('POST', key, '/lease', {leaseMs: taskLeaseMs});
    }
  }

  private async guardTask(key: string, task: RunningTask): Promise<void> {
    if (task.stopCause !== undefined) return;
    const action = chooseGuardAction(task.guarded, this.options.clock.now());
    if (action.kind === 'continue') return;
    if (action.kind === 'throttle' && task.guarded.throttled) return;
    this.options.log.warn(
      {event: 'guard', task: key, act: action.kind, cause: action.cause},
      'task exceeds its limits',
    );
    await this.applyGuardAction(key, task, action);
  }

  private async applyGuardAction(
    key: string,
    task: RunningTask,
    action: Exclude<GuardAction, {kind: 'continue'}>,
  ): Promise<void> {
    switch (action.kind) {
      case 'throttle': {
        const {cores} = task.request.demand;
        task.guarded = {...task.guarded, throttled: true};
        await this.sendCommand('POST', key, '/throttle', {cores});
        return;
      }
      case 'checkpoint':
        task.guarded = {...task.guarded, canCheckpoint: false};
        await this.sendCommand('POST', key, '/checkpoint');
        return;
      case 'stop':
        task.stopCause = action.cause;
        await this.sendCommand('DELETE', key, '');
        return;
      default:
        failUnreachable(action);
    }
  }

  private async fetchUsage(): Promise<UsageReport | undefined> {
    const outcome = await sendRequest(this.pool, {
      method: 'GET',
      path: '/usage',
      signal: AbortSignal.timeout(commandTimeoutMs),
      maxBytes: maxResultBytes,
    });
    if (outcome.kind !== 'answered' || outcome.status !== 200) return undefined;
    const report = parseUsage(parseObject(outcome.body));
    if (report === undefined) {
      this.options.log.warn(
        {event: 'usage-unreadable'},
        'worker sent a malformed usage report',
      );
    }
    return report;
  }

  /** Sends a command for a task and ignores failures: the worker ends a task whose lease is not renewed. */
  private async sendCommand(
    method: 'POST' | 'DELETE',
    key: string,
    action: '' | '/lease' | '/throttle' | '/checkpoint',
    body?: unknown,
  ): Promise<void> {
    await sendRequest(this.pool, {
      method,
      path: `/tasks/${encodeURIComponent(key)}${action}`,
      body,
      signal: AbortSignal.timeout(commandTimeoutMs),
      maxBytes: maxResultBytes,
    });
  }
}

function interpretOutcome(
  outcome: HttpOutcome,
  aborted: boolean,
  stopCause: string | undefined,
): RunOutcome {
  switch (outcome.kind) {
    case 'unusable':
      return {kind: 'failed', detail: outcome.detail};
    case 'not-sent':
      return {kind: 'not-run', detail: outcome.detail};
    case 'broken':
      return {kind: 'unknown', detail: outcome.detail};
    case 'aborted':
      return {kind: 'stopped'};
    case 'answered':
      if (outcome.status !== statusConflict) {
        return interpretResponse(outcome.status, outcome.body);
      }
      if (aborted) return {kind: 'stopped'};
      return {
        kind: 'failed',
        detail: `stopped: ${stopCause ?? 'its lease at the worker ended'}`,
      };
    default:
      return failUnreachable(outcome);
  }
}
