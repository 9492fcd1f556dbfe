import {Agent, request} from 'undici';
import type {PlannedJob} from './load.js';
import {sleepFor} from './wait.js';

/** What came of one submission, as the caller saw it. */
export type Outcome =
  | {readonly kind: 'complete'; readonly results: readonly unknown[]}
  | {readonly kind: 'failed'; readonly reason: string; readonly detail: string}
  | {readonly kind: 'unknown'; readonly reason: string; readonly detail: string}
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  /** The connection ended without an answer. */
  | {readonly kind: 'unanswered'; readonly detail: string};

export interface Attempt {
  readonly entry: string;
  /** On the caller's monotonic clock, in ms. */
  readonly startedAt: number;
  readonly endedAt: number;
  readonly outcome: Outcome;
}

/** A job and all its submissions, in the order in which they ended. */
export interface JobRecord {
  readonly plan: PlannedJob;
  readonly attempts: readonly Attempt[];
}

/** How a caller goes on after a submission that brought no answer. */
export interface Persistence {
  readonly maxAttempts: number;
  /** The longest pause before the next attempt, in ms. */
  readonly maxPauseMs: number;
}

/** How long after a job's deadline its caller still waits, in ms. */
const graceMs = 10_000;
const firstPauseMs = 20;

/** Submits jobs over HTTP as a caller's client does. */
export class Caller implements AsyncDisposable {
  private readonly agent = new Agent({
    connections: 512,
    pipelining: 1,
    keepAliveTimeout: 4000,
  });

  constructor(private readonly entries: readonly string[]) {}

  /** Submits a job until it is answered, each time at the next entry under the same key. */
  async submit(
    plan: PlannedJob,
    firstEntry: number,
    persistence: Persistence,
  ): Promise<JobRecord> {
    const attempts: Attempt[] = [];
    for (let i = 0; i < persistence.maxAttempts; i++) {
      const entry = this.entries[(firstEntry + i) % this.entries.length]!;
      const attempt = await this.tryOnce(plan, entry);
      attempts.push(attempt);
      const pauseMs = computePauseMs(attempt.outcome, i);
      if (pauseMs === undefined) break;
      await sleepFor(Math.min(pauseMs, persistence.maxPauseMs));
    }
    return {plan, attempts};
  }

  /** Submits a job once at one entry. */
  async tryOnce(plan: PlannedJob, entry: string): Promise<Attempt> {
    const startedAt = performance.now();
    const outcome = await this.post(plan, entry);
    return {entry, startedAt, endedAt: performance.now(), outcome};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  private async post(plan: PlannedJob, entry: string): Promise<Outcome> {
    const limitMs = plan.deadlineMs + graceMs;
    try {
      const response = await request(
        `${entry}/v1/services/${plan.service}/jobs`,
        {
          method: 'POST',
          dispatcher: this.agent,
          headersTimeout: limitMs,
          bodyTimeout: limitMs,
          headers: {
            'content-type': 'application/json',
            'idempotency-key': plan.key,
            'wasabiring-team': plan.team,
          },
          body: JSON.stringify({
            deadlineMs: plan.deadlineMs,
            unrepeatable: plan.unrepeatable,
            tasks: plan.tasks,
          }),
        },
      );
      return readOutcome(await response.body.json());
    } catch (error) {
      return {kind: 'unanswered', detail: (error as Error).message};
    }
  }
}

interface AnswerBody {
  readonly status?: string;
  readonly results?: readonly unknown[];
  readonly reason?: string;
  readonly cause?: string;
  readonly detail?: string;
  readonly retryAfterMs?: number;
}

/** Reads an answer's body; one outside the interface counts as none. */
export function readOutcome(json: unknown): Outcome {
  const body = (json ?? {}) as AnswerBody;
  const reason = body.reason ?? '';
  const detail = body.detail ?? '';
  switch (body.status) {
    case 'complete':
      return {kind: 'complete', results: body.results ?? []};
    case 'failed':
      return reason === 'unknown'
        ? {kind: 'unknown', reason: body.cause ?? '', detail}
        : {kind: 'failed', reason, detail};
    case 'not-run':
      return {kind: 'not-run', reason, retryAfterMs: body.retryAfterMs ?? 0};
    default:
      return {
        kind: 'unanswered',
        detail: `not an answer: ${JSON.stringify(json)}`,
      };
  }
}

/** Computes the pause before the next attempt; undefined when this outcome is final. */
function computePauseMs(outcome: Outcome, attempt: number): number | undefined {
  const backoffMs = firstPauseMs * 2 ** attempt;
  switch (outcome.kind) {
    case 'complete':
    case 'failed':
      return undefined;
    case 'not-run':
      return outcome.retryAfterMs > 0 ? outcome.retryAfterMs : undefined;
    case 'unknown':
    case 'unanswered':
      return backoffMs;
  }
}
