import type {Pool} from 'undici';
import {type Clock, failUnreachable, type Instant} from '#model';
import {
  type GuardedTask,
  type GuardVerdict,
  judgeGuard,
  updateUsage,
} from '#policy';
import type {Logger} from '#telemetry';
import {interpretAnswer, parseObject} from './answer.js';
import {type HttpOutcome, openPool, sendRequest} from './http.js';
import {formatTask} from './ledger.js';
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
  /** Bounds the silence of a connection that the agent has not given up itself, in ms. */
  readonly answerTimeoutMs: number;
  /** Between two rounds of guards and lease renewals, in ms. */
  readonly guardIntervalMs: number;
}

/** The worker stops a task whose lease is not renewed for this long. */
const taskLeaseMs = 3000;
/** A lease is renewed once it has less than this left. */
const renewBelowMs = 2000;
const maxConnections = 1100;
const controlTimeoutMs = 1000;
/** How long a stopped task may take to end before the agent gives it up. */
const stopTimeoutMs = 2000;
const statusConflict = 409;

interface HeldTask {
  readonly request: RunRequest;
  guarded: GuardedTask;
  leaseDeadline: Instant;
  /** Why the guard stopped the task. */
  stopCause?: string;
}

/**
 * A back end that offers cores, memory and accelerators. It runs tasks under
 * leases that this agent renews, so that none outlives the agent for long, and
 * reports usage with a lag, by which the agent throttles, checkpoints or stops.
 */
export class Worker implements Target {
  private readonly pool: Pool;
  private readonly held = new Map<string, HeldTask>();
  private readonly guard: NodeJS.Timeout;
  private readonly openedAt: Instant;
  private guarding = false;

  constructor(private readonly options: WorkerOptions) {
    this.openedAt = options.clock.now();
    this.pool = openPool(options.url, maxConnections, options.answerTimeoutMs);
    this.guard = setInterval(
      () => void this.guardTasks(),
      options.guardIntervalMs,
    );
    this.guard.unref();
  }

  async run(request: RunRequest, signal: AbortSignal): Promise<RunOutcome> {
    const key = formatTask(request);
    const now = this.options.clock.now();
    const task: HeldTask = {
      request,
      leaseDeadline: now + taskLeaseMs,
      guarded: {
        demand: request.demand,
        leaseDeadline: now + request.maxTaskMs,
        canCheckpoint: true,
        throttled: false,
      },
    };
    this.held.set(key, task);
    const giveUp = new AbortController();
    const onAbort = () => void this.stopTask(key, giveUp);
    signal.addEventListener('abort', onAbort);
    const outcome = await this.submit(request, giveUp.signal);
    signal.removeEventListener('abort', onAbort);
    if (outcome.kind === 'broken') await this.sendCommand('DELETE', key, '');
    this.held.delete(key);
    return judgeRun(outcome, signal.aborted, task.stopCause);
  }

  async checkHealth(): Promise<boolean> {
    const askedAt = this.options.clock.now();
    const report = await this.fetchUsage();
    if (report === undefined) return false;
    if (this.held.size > 0) return true;
    const strangers = report.tasks.map(formatTask);
    // It may lack what an earlier life of this agent started last.
    const isFromBefore = askedAt - report.ageMs < this.openedAt;
    if (strangers.length === 0) return !isFromBefore;
    this.options.log.warn(
      {event: 'strangers', tasks: strangers.length},
      'the worker still runs tasks of an earlier life of this agent',
    );
    await Promise.all(
      strangers.map(key => this.sendCommand('DELETE', key, '')),
    );
    return false;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.guard);
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

  /** Has the worker end a task; its answer follows, or is given up after a time. */
  private async stopTask(key: string, giveUp: AbortController): Promise<void> {
    const timer = setTimeout(() => giveUp.abort(), stopTimeoutMs);
    timer.unref();
    await this.sendCommand('DELETE', key, '');
  }

  private async guardTasks(): Promise<void> {
    if (this.guarding || this.held.size === 0) return;
    this.guarding = true;
    try {
      this.renewLeases();
      const now = this.options.clock.now();
      for (const usage of (await this.fetchUsage())?.tasks ?? []) {
        const task = this.held.get(formatTask(usage));
        if (task === undefined) continue;
        const {ageMs, ...used} = usage;
        task.guarded = updateUsage(task.guarded, {
          ...used,
          measuredAt: now - ageMs,
        });
      }
      await Promise.all(
        [...this.held].map(([key, task]) => this.guardTask(key, task)),
      );
    } finally {
      this.guarding = false;
    }
  }

  private renewLeases(): void {
    const now = this.options.clock.now();
    for (const [key, task] of this.held) {
      if (task.leaseDeadline - now >= renewBelowMs) continue;
      task.leaseDeadline = now + taskLeaseMs;
      void this.sendCommand('POST', key, '/lease', {leaseMs: taskLeaseMs});
    }
  }

  private async guardTask(key: string, task: HeldTask): Promise<void> {
    if (task.stopCause !== undefined) return;
    const verdict = judgeGuard(task.guarded, this.options.clock.now());
    if (verdict.kind === 'continue') return;
    if (verdict.kind === 'throttle' && task.guarded.throttled) return;
    this.options.log.warn(
      {event: 'guard', task: key, act: verdict.kind, cause: verdict.cause},
      'a task exceeds its bounds',
    );
    await this.applyVerdict(key, task, verdict);
  }

  private async applyVerdict(
    key: string,
    task: HeldTask,
    verdict: Exclude<GuardVerdict, {kind: 'continue'}>,
  ): Promise<void> {
    switch (verdict.kind) {
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
        task.stopCause = verdict.cause;
        await this.sendCommand('DELETE', key, '');
        return;
      default:
        failUnreachable(verdict);
    }
  }

  private async fetchUsage(): Promise<UsageReport | undefined> {
    const outcome = await sendRequest(this.pool, {
      method: 'GET',
      path: '/usage',
      signal: AbortSignal.timeout(controlTimeoutMs),
      maxBytes: maxResultBytes,
    });
    if (outcome.kind !== 'answered' || outcome.status !== 200) return undefined;
    const report = parseUsage(parseObject(outcome.body));
    if (report === undefined) {
      this.options.log.warn(
        {event: 'usage-unreadable'},
        'the worker reports its usage in a form that is not known',
      );
    }
    return report;
  }

  /** Commands a task. Best effort: its lease ends it when nothing else does. */
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
      signal: AbortSignal.timeout(controlTimeoutMs),
      maxBytes: maxResultBytes,
    });
  }
}

function judgeRun(
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
        return interpretAnswer(outcome.status, outcome.body);
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
