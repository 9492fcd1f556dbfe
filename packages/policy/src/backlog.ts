import type {Instant} from '#model';

/** Work that waits at a dispatcher and the targets that could take it. */
export interface PoolBacklog {
  /** Core-ms of tasks accepted and not yet done, the running ones included. */
  readonly workCoreMs: number;
  /** Core-ms that the pool does in a ms: cores over slowness, summed. */
  readonly rate: number;
}

/** A job that asks to be admitted. */
export interface ArrivingJob {
  /** Its longest chain of work, in ms. */
  readonly chainMs: number;
  readonly dueAt: Instant;
  /** When its caller leaves. */
  readonly leavesAt: Instant;
}

export type BacklogVerdict =
  | {readonly kind: 'admit'}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

const minRetryMs = 100;
const maxRetryMs = 5000;

/** What one of several dispatchers knows of the work that waits for a service's targets. */
export interface BacklogSample {
  /** What waits here, in core-ms. */
  readonly ownCoreMs: number;
  /** What waits at some of the others, as they told lately. */
  readonly toldCoreMs: readonly number[];
  /** All that share the targets, this one included. */
  readonly dispatchers: number;
  /** Core-ms that each target known here does in a ms. */
  readonly rates: readonly number[];
  /** All targets of the service. */
  readonly targets: number;
}

/**
 * Scales what one dispatcher knows to the whole pool. Load pattern: a burst beyond what the pool can do,
 * shared by many dispatchers, none of which has enough waiting to notice.
 */
export function estimatePoolBacklog({
  ownCoreMs,
  toldCoreMs,
  dispatchers,
  rates,
  targets,
}: BacklogSample): PoolBacklog {
  const known = [ownCoreMs, ...toldCoreMs];
  const counted = Math.max(1, Math.min(known.length, dispatchers));
  const workCoreMs =
    (sumUp(known) / known.length) * Math.max(counted, dispatchers);
  const rate =
    rates.length === 0
      ? 0
      : (sumUp(rates) / rates.length) * Math.max(rates.length, targets);
  return {workCoreMs, rate};
}

function sumUp(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/** Estimates how long newly arrived work waits until the pool comes to it, in ms. */
export function estimateBacklogMs({workCoreMs, rate}: PoolBacklog): number {
  return rate <= 0 ? Infinity : workCoreMs / rate;
}

/**
 * Admits a job unless its caller would surely leave before its end. Load pattern: a burst beyond what
 * the pool can do, where each job that is run in vain takes the room of one that could be in time.
 */
export function judgeBacklog(
  {chainMs, leavesAt}: ArrivingJob,
  backlog: PoolBacklog,
  now: Instant,
): BacklogVerdict {
  const waitMs = estimateBacklogMs(backlog);
  const spareMs = leavesAt - now - chainMs;
  if (waitMs <= spareMs) return {kind: 'admit'};
  const excessMs = waitMs - Math.max(0, spareMs);
  const retryAfterMs = Math.min(
    maxRetryMs,
    Math.max(minRetryMs, Math.ceil(excessMs)),
  );
  return {kind: 'refuse', retryAfterMs};
}
