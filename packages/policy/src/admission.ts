import type {
  Capacity,
  Instant,
  Limits,
  NotRunReason,
  ResourceDemand,
  ServiceConfig,
  Submission,
  TeamConfig,
} from '#model';
import {spendTokens, type TokenBucket} from './quota.js';

/** The state of the entry that admission of a job depends on. */
export interface AdmissionState {
  /** Unset when the service is not configured. */
  readonly service?: ServiceConfig;
  /** Unset when the team is not configured. */
  readonly team?: TeamConfig;
  readonly limits: Limits;
  /** Capacities of the service's targets in the current view. */
  readonly capacities: readonly Capacity[];
  /** This entry's share of the team's quota. */
  readonly bucket: TokenBucket;
  readonly load: ServiceLoad;
  readonly runs: RunEstimate;
}

/** Load of one service at this entry. */
export interface ServiceLoad {
  /** Waiting tasks of all teams. */
  readonly waiting: number;
  /** Waiting tasks of the job's team. */
  readonly teamWaiting: number;
  /** Share of the service that the team can count on while other teams wait, from 0 to 1. */
  readonly teamShare: number;
  /** Slots that the entry can use immediately. */
  readonly freeSlots: number;
  /** Task starts per second while tasks wait; 0 while unknown. */
  readonly startsPerSecond: number;
  /** Tasks of this entry that are running at targets. */
  readonly running?: number;
}

/** Estimated run times of a service, in ms, with callers' hints blended in. */
export interface RunEstimate {
  readonly lowMs: number;
  readonly medianMs: number;
  /** Unset: the median is used. */
  readonly meanMs?: number;
  /** A high quantile, about 0.95, for the slowest task of a job. Unset: twice the median. */
  readonly highMs?: number;
  /** Observed runs behind the estimates. Jobs are not refused on hints alone. */
  readonly observations: number;
}

export type AdmissionDecision =
  | {
      readonly kind: 'admit';
      /** The team's bucket after the job's tokens were spent. */
      readonly bucket: TokenBucket;
    }
  | {
      readonly kind: 'refuse';
      readonly reason: NotRunReason;
      /** 0 when a later submission would be refused as well. */
      readonly retryAfterMs: number;
      readonly detail: string;
    };

const minObservations = 20;
/** Safety factor on the estimated wait: queues of other teams may grow after a job is admitted. */
const waitMarginFactor = 1.25;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 30_000;
const unknownDrainRetryMs = 1000;
const noTargetsRetryMs = 2000;
const msPerSecond = 1000;

/** Decides whether to admit a job. Only an admitted job spends the team's quota. */
export function decideAdmission(
  state: AdmissionState,
  submission: Submission,
  deadline: Instant,
  now: Instant,
): AdmissionDecision {
  return (
    checkSubmission(state, submission) ??
    checkCapacity(state) ??
    checkLoad(state, submission.tasks.length) ??
    checkDeadline(state, submission.tasks.length, deadline, now) ??
    spendQuota(state, submission, now)
  );
}

/**
 * Estimates the time until the last task of a job starts, in ms; 0 while the
 * start rate is unknown. In a sustained backlog, later tasks of other teams overtake
 * the team's tasks, so the team progresses only at its share of the start rate.
 * Otherwise the job waits at most for the whole queue.
 */
export function estimateWait(
  load: ServiceLoad,
  runs: RunEstimate,
  tasks: number,
): number {
  const queued = Math.max(0, load.waiting + tasks - load.freeSlots);
  const startsPerSecond = estimateStartRate(load, runs);
  if (queued === 0 || startsPerSecond === 0) return 0;
  const teamQueued = Math.min(queued, load.teamWaiting + tasks);
  const share = Math.max(load.teamShare, Number.EPSILON);
  const isSustained = load.startsPerSecond > 0;
  const tasksAhead = isSustained
    ? teamQueued / share
    : Math.min(queued, teamQueued / share);
  return (tasksAhead / startsPerSecond) * msPerSecond;
}

/**
 * Estimates task starts per second: the rate observed while tasks waited or,
 * before that, the rate at which the running tasks end.
 */
function estimateStartRate(
  {startsPerSecond, running = 0}: ServiceLoad,
  {meanMs, medianMs}: RunEstimate,
): number {
  if (startsPerSecond > 0) return startsPerSecond;
  const runMs = meanMs ?? medianMs;
  return runMs <= 0 ? 0 : (running / runMs) * msPerSecond;
}

function checkSubmission(
  {service, team, limits}: AdmissionState,
  {service: serviceName, team: teamName, tasks}: Submission,
): AdmissionDecision | undefined {
  if (team === undefined) {
    return refuse('unknown-team', 0, `team "${teamName}" is not configured`);
  }
  if (service === undefined) {
    const detail = `service "${serviceName}" is not configured`;
    return refuse('unknown-service', 0, detail);
  }
  if (tasks.length === 0) {
    return refuse('bad-request', 0, 'a job needs at least one task');
  }
  if (tasks.length <= limits.maxTasksPerJob) return undefined;
  const detail = `${tasks.length} tasks exceed the limit of ${limits.maxTasksPerJob} a job`;
  return refuse('too-many-tasks', 0, detail);
}

function checkCapacity({
  service,
  capacities,
}: AdmissionState): AdmissionDecision | undefined {
  const {name, demand} = service!;
  if (capacities.length === 0) {
    const detail = `service "${name}" has no targets now`;
    return refuse('no-targets', noTargetsRetryMs, detail);
  }
  if (capacities.some(one => canHold(demand, one))) return undefined;
  const detail = `a task of service "${name}" needs more than any of its ${capacities.length} targets has`;
  return refuse('can-never-run', 0, detail);
}

function canHold(demand: ResourceDemand, capacity: Capacity): boolean {
  if (capacity.kind === 'executor') return capacity.slots > 0;
  return (
    demand.cores <= capacity.cores &&
    demand.memoryMb <= capacity.memoryMb &&
    demand.accelerators <= capacity.accelerators
  );
}

/**
 * Applies the queue limit, which is divided between teams by weight. A team
 * within its share is admitted even when other teams fill the whole queue; the
 * total stays within twice the limit.
 */
function checkLoad(
  {limits, load, runs}: AdmissionState,
  tasks: number,
): AdmissionDecision | undefined {
  const excess = load.waiting + tasks - limits.maxQueuedTasks;
  if (excess <= 0 || load.waiting === 0) return undefined;
  const teamLimit = limits.maxQueuedTasks * load.teamShare;
  if (load.teamWaiting + tasks <= teamLimit) return undefined;
  const detail = `${load.waiting} tasks wait; the limit is ${limits.maxQueuedTasks}`;
  return refuse('overloaded', computeDrainRetryMs(load, runs, excess), detail);
}

/**
 * Refuses a job whose last task is expected to end after the deadline. While
 * nothing waits, only the low quantile of run times is compared with the
 * deadline, so that feasible jobs are not refused.
 */
function checkDeadline(
  {load, runs}: AdmissionState,
  tasks: number,
  deadline: Instant,
  now: Instant,
): AdmissionDecision | undefined {
  const remainingMs = deadline - now;
  if (remainingMs <= 0) {
    return refuse('deadline-unreachable', 0, 'the deadline has passed');
  }
  if (runs.observations < minObservations) return undefined;
  if (runs.lowMs > remainingMs) {
    const detail = `tasks run at least ${Math.round(runs.lowMs)} ms; ${Math.round(remainingMs)} ms remain`;
    return refuse('deadline-unreachable', 0, detail);
  }
  const waitMs = load.waiting === 0 ? 0 : estimateWait(load, runs, tasks);
  const runMs = estimateSlowestRun(runs, tasks);
  const lateMs = waitMs * waitMarginFactor + runMs - remainingMs;
  if (waitMs === 0 || lateMs <= 0) return undefined;
  const detail = `expected to wait ${Math.round(waitMs)} ms and run ${Math.round(runMs)} ms; ${Math.round(remainingMs)} ms remain`;
  return refuse('deadline-unreachable', clampRetryAfter(lateMs), detail);
}

/**
 * Estimates the run time of a job's slowest task: the median for one task,
 * approaching the high quantile for many.
 */
function estimateSlowestRun(
  {medianMs, highMs = 2 * medianMs}: RunEstimate,
  tasks: number,
): number {
  const weight = 1 - 1 / tasks;
  return medianMs + weight * Math.max(0, highMs - medianMs);
}

function spendQuota(
  {bucket, team}: AdmissionState,
  {tasks}: Submission,
  now: Instant,
): AdmissionDecision {
  const result = spendTokens(bucket, tasks.length, now);
  if (result.kind === 'allowed') {
    return {kind: 'admit', bucket: result.bucket};
  }
  const detail = `team "${team!.name}" has used up its quota of ${team!.tasksPerSecond} tasks a second`;
  return refuse('team-over-quota', result.retryAfterMs, detail);
}

function computeDrainRetryMs(
  load: ServiceLoad,
  runs: RunEstimate,
  tasks: number,
): number {
  const startsPerSecond = estimateStartRate(load, runs);
  if (startsPerSecond === 0) return unknownDrainRetryMs;
  return clampRetryAfter((tasks / startsPerSecond) * msPerSecond);
}

function clampRetryAfter(ms: number): number {
  return Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)));
}

function refuse(
  reason: NotRunReason,
  retryAfterMs: number,
  detail: string,
): AdmissionDecision {
  return {kind: 'refuse', reason, retryAfterMs, detail};
}
