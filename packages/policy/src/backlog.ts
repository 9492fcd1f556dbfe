import type {Instant} from '#model';

/** Work that waits for the targets of a service, and their processing rate. */
export interface PoolBacklog {
  /** Work of the waiting tasks, in thousandths of a core times ms. */
  readonly workMillicoreMs: number;
  /** Work done per ms, in thousandths of a core: cores / slowness, summed over the targets. */
  readonly rate: number;
}

/** A job to be admitted or refused. */
export interface ArrivingJob {
  /** Estimated run time of its critical path, in ms. */
  readonly chainMs: number;
  /** When its answer becomes useless or its caller stops waiting. */
  readonly answerDeadline: Instant;
}

export type BacklogDecision =
  | {readonly kind: 'admit'}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

const minRetryAfterMs = 100;
const maxRetryAfterMs = 5000;
/** A failure domain usually stays evacuated for longer than this, in ms. */
const minEvacuationMs = 10_000;

/**
 * The part of a service's backlog that one of its dispatchers knows. Work is in thousandths of a core
 * times ms.
 */
export interface BacklogSample {
  /** Work that waits at this dispatcher. */
  readonly ownMillicoreMs: number;
  /** Work that waits at other dispatchers, one value for each that reported recently. */
  readonly reportedMillicoreMs: readonly number[];
  /** Number of dispatchers that share the targets, including this one. */
  readonly dispatchers: number;
  /** Processing rate of each target known here, in thousandths of a core. */
  readonly rates: readonly number[];
  /** Number of all targets of the service. */
  readonly targets: number;
}

/**
 * Extrapolates the backlog that one dispatcher knows to all dispatchers and targets of the service. A
 * burst beyond the capacity of the targets may be spread over so many dispatchers that the backlog of
 * each looks small.
 */
export function estimatePoolBacklog({
  ownMillicoreMs,
  reportedMillicoreMs,
  dispatchers,
  rates,
  targets,
}: BacklogSample): PoolBacklog {
  const sampledMillicoreMs = [ownMillicoreMs, ...reportedMillicoreMs];
  const sampledDispatchers = Math.max(
    1,
    Math.min(sampledMillicoreMs.length, dispatchers),
  );
  const workMillicoreMs =
    (computeSum(sampledMillicoreMs) / sampledMillicoreMs.length) *
    Math.max(sampledDispatchers, dispatchers);
  const rate =
    rates.length === 0
      ? 0
      : (computeSum(rates) / rates.length) * Math.max(rates.length, targets);
  return {workMillicoreMs, rate};
}

function computeSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/** Estimates how long newly arrived work waits before it starts, in ms; infinite without targets. */
export function estimateBacklogMs({
  workMillicoreMs,
  rate,
}: PoolBacklog): number {
  return rate <= 0 ? Infinity : workMillicoreMs / rate;
}

/**
 * Refuses a job that is not expected to end while its answer is useful and its caller waits. In a burst
 * beyond the capacity of the targets, each such job would take capacity from one that could end in time.
 */
export function checkBacklog(
  {chainMs, answerDeadline}: ArrivingJob,
  backlog: PoolBacklog,
  now: Instant,
): BacklogDecision {
  const waitMs = estimateBacklogMs(backlog);
  const slackMs = answerDeadline - now - chainMs;
  if (waitMs <= slackMs) return {kind: 'admit'};
  const excessMs = waitMs - Math.max(0, slackMs);
  const retryAfterMs = Math.min(
    maxRetryAfterMs,
    Math.max(minRetryAfterMs, Math.ceil(excessMs)),
  );
  return {kind: 'refuse', retryAfterMs};
}

/**
 * Refuses a job with a task that only targets of evacuated failure domains could run, unless its slack
 * may outlast the evacuation. Load pattern: jobs that require a label of an evacuated domain go on
 * arriving. Each would wait until its answer is useless, though its caller could do something else.
 */
export function checkEvacuation(
  {chainMs, answerDeadline}: ArrivingJob,
  now: Instant,
): BacklogDecision {
  const slackMs = answerDeadline - now - chainMs;
  if (slackMs >= minEvacuationMs) return {kind: 'admit'};
  return {kind: 'refuse', retryAfterMs: maxRetryAfterMs};
}
