import {Agent, request} from 'undici';
import type {PlannedJob} from './load.js';
import {sleepFor} from './wait.js';

/** The outcome of one submission, as observed by the caller. */
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

/** A job and all its submissions, ordered by end time. */
export interface JobRecord {
  readonly plan: PlannedJob;
  readonly attempts: readonly Attempt[];
}

/** How a caller retries a submission that brought no final answer. */
export interface RetryPolicy {
  readonly maxAttempts: number;
  /** Upper bound of the pause before the next attempt, in ms. */
  readonly maxPauseMs: number;
}

/** How long past the job's deadline the caller waits for an answer, in ms. */
const answerGraceMs = 10_000;
const initialBackoffMs = 20;

/** An HTTP client that submits jobs to the entries. */
export class Caller implements AsyncDisposable {
  private readonly httpAgent = new Agent({
    connections: 512,
    pipelining: 1,
    keepAliveTimeout: 4000,
  });

  constructor(private readonly entries: readonly string[]) {}

  /**
   * Submits a job until it has a final answer or the attempts are used up. Each retry goes to
   * the next entry with the same idempotency key.
   */
  async submit(
    plan: PlannedJob,
    firstEntry: number,
    retryPolicy: RetryPolicy,
  ): Promise<JobRecord> {
    const attempts: Attempt[] = [];
    for (let i = 0; i < retryPolicy.maxAttempts; i++) {
      const entry = this.entries[(firstEntry + i) % this.entries.length]!;
      const attempt = await this.tryOnce(plan, entry);
      attempts.push(attempt);
      const pauseMs = computePauseMs(attempt.outcome, i);
      if (pauseMs === undefined) break;
      await sleepFor(Math.min(pauseMs, retryPolicy.maxPauseMs));
    }
    return {plan, attempts};
  }

  /** Submits a job to one entry without retrying. */
  async tryOnce(plan: PlannedJob, entry: string): Promise<Attempt> {
    const startedAt = performance.now();
    const outcome = await this.post(plan, entry);
    return {entry, startedAt, endedAt: performance.now(), outcome};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.httpAgent.destroy();
  }

  private async post(plan: PlannedJob, entry: string): Promise<Outcome> {
    const limitMs = plan.deadlineMs + answerGraceMs;
    try {
      const response = await request(
        `${entry}/v1/services/${plan.service}/jobs`,
        {
          method: 'POST',
          dispatcher: this.httpAgent,
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

/** Reads an answer's body. A body with an unknown `status` counts as unanswered. */
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

/** Computes the pause before the next attempt in ms; undefined when the outcome is final. */
function computePauseMs(outcome: Outcome, attempt: number): number | undefined {
  const backoffMs = initialBackoffMs * 2 ** attempt;
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
