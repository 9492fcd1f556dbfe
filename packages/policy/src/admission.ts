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

/** What the entry knows when a job comes in. */
export interface AdmissionState {
  /** Unset: the service is not configured. */
  readonly service?: ServiceConfig;
  /** Unset: the team is not configured. */
  readonly team?: TeamConfig;
  readonly limits: Limits;
  /** The capacities of the service's targets in the view. */
  readonly capacities: readonly Capacity[];
  /** This entry's share of the team's quota. */
  readonly bucket: TokenBucket;
  readonly load: ServiceLoad;
  readonly runs: RunEstimate;
}

/** The service's work at this entry. */
export interface ServiceLoad {
  /** Tasks that wait, of all teams. */
  readonly waiting: number;
  /** Tasks of the job's team that wait. */
  readonly teamWaiting: number;
  /** Of the weights of the teams that wait, the team's part; between 0 and 1. */
  readonly teamShare: number;
  /** Slots that the entry could use at once. */
  readonly freeSlots: number;
  /** Tasks that start a second while some wait; 0 while not known. */
  readonly startsPerSecond: number;
  /** Tasks of this entry at targets. */
  readonly running?: number;
}

/** Run times of the service, hints blended in, in ms. */
export interface RunEstimate {
  readonly lowMs: number;
  readonly medianMs: number;
  /** Unset: the median stands in for it. */
  readonly meanMs?: number;
  /** A high quantile, about 0.95: how long a job's slowest task runs. Unset: twice the median. */
  readonly highMs?: number;
  /** Observations behind them; hints alone refuse nothing. */
  readonly observations: number;
}

export type AdmissionVerdict =
  | {
      readonly kind: 'admit';
      /** What is left of the team's quota. */
      readonly bucket: TokenBucket;
    }
  | {
      readonly kind: 'refuse';
      readonly reason: NotRunReason;
      /** 0 when resubmission cannot help. */
      readonly retryAfterMs: number;
      readonly detail: string;
    };

const minObservations = 20;
/** Queues of other teams may grow after a job was admitted. */
const waitMargin = 1.25;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 30_000;
const unknownDrainRetryMs = 1000;
const noTargetsRetryMs = 2000;
const msPerSecond = 1000;

/** Judges a job before anything of it starts. The quota is spent only by a job that is admitted. */
export function judgeAdmission(
  state: AdmissionState,
  submission: Submission,
  deadline: Instant,
  now: Instant,
): AdmissionVerdict {
  return (
    refuseForm(state, submission) ??
    refuseCapacity(state) ??
    refuseLoad(state, submission.tasks.length) ??
    refuseDeadline(state, submission.tasks.length, deadline, now) ??
    spendQuota(state, submission, now)
  );
}

/**
 * Estimates when the last task of a job would start, in ms from now; 0 while
 * nothing is known. Under a lasting backlog later work of other teams overtakes
 * the team's, so that only its own share of the rate counts; otherwise the job
 * waits no longer than for the whole queue.
 */
export function estimateWait(
  load: ServiceLoad,
  runs: RunEstimate,
  tasks: number,
): number {
  const queued = Math.max(0, load.waiting + tasks - load.freeSlots);
  const startsPerSecond = estimateStarts(load, runs);
  if (queued === 0 || startsPerSecond === 0) return 0;
  const ofTeam = Math.min(queued, load.teamWaiting + tasks);
  const share = Math.max(load.teamShare, Number.EPSILON);
  const isLasting = load.startsPerSecond > 0;
  const ahead = isLasting ? ofTeam / share : Math.min(queued, ofTeam / share);
  return (ahead / startsPerSecond) * msPerSecond;
}

/** The rate seen while tasks waited; before that, the rate at which those that run now must end. */
function estimateStarts(
  {startsPerSecond, running = 0}: ServiceLoad,
  {meanMs, medianMs}: RunEstimate,
): number {
  if (startsPerSecond > 0) return startsPerSecond;
  const runMs = meanMs ?? medianMs;
  return runMs <= 0 ? 0 : (running / runMs) * msPerSecond;
}

function refuseForm(
  {service, team, limits}: AdmissionState,
  {service: serviceName, team: teamName, tasks}: Submission,
): AdmissionVerdict | undefined {
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

function refuseCapacity({
  service,
  capacities,
}: AdmissionState): AdmissionVerdict | undefined {
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
 * The queue limit is divided by weight: a team within its part is admitted even
 * when others fill the whole, so that the total stays below twice the limit.
 */
function refuseLoad(
  {limits, load, runs}: AdmissionState,
  tasks: number,
): AdmissionVerdict | undefined {
  const excess = load.waiting + tasks - limits.maxQueuedTasks;
  if (excess <= 0 || load.waiting === 0) return undefined;
  const teamPart = limits.maxQueuedTasks * load.teamShare;
  if (load.teamWaiting + tasks <= teamPart) return undefined;
  const detail = `${load.waiting} tasks wait; the limit is ${limits.maxQueuedTasks}`;
  return refuse('overloaded', computeDrainMs(load, runs, excess), detail);
}

/**
 * Refuses a job whose last task cannot be expected to end in time. Without a
 * queue only the shortest runs count, so that what is feasible is not refused.
 */
function refuseDeadline(
  {load, runs}: AdmissionState,
  tasks: number,
  deadline: Instant,
  now: Instant,
): AdmissionVerdict | undefined {
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
  const runMs = estimateLastRun(runs, tasks);
  const lateMs = waitMs * waitMargin + runMs - remainingMs;
  if (waitMs === 0 || lateMs <= 0) return undefined;
  const detail = `expected to wait ${Math.round(waitMs)} ms and run ${Math.round(runMs)} ms; ${Math.round(remainingMs)} ms remain`;
  return refuse('deadline-unreachable', clampRetry(lateMs), detail);
}

/** How long the slowest of a job's tasks is expected to run: between the median and the high quantile. */
function estimateLastRun(
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
): AdmissionVerdict {
  const spending = spendTokens(bucket, tasks.length, now);
  if (spending.kind === 'allowed') {
    return {kind: 'admit', bucket: spending.bucket};
  }
  const detail = `team "${team!.name}" has used up its quota of ${team!.tasksPerSecond} tasks a second`;
  return refuse('team-over-quota', spending.retryAfterMs, detail);
}

function computeDrainMs(
  load: ServiceLoad,
  runs: RunEstimate,
  tasks: number,
): number {
  const startsPerSecond = estimateStarts(load, runs);
  if (startsPerSecond === 0) return unknownDrainRetryMs;
  return clampRetry((tasks / startsPerSecond) * msPerSecond);
}

function clampRetry(ms: number): number {
  return Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)));
}

function refuse(
  reason: NotRunReason,
  retryAfterMs: number,
  detail: string,
): AdmissionVerdict {
  return {kind: 'refuse', reason, retryAfterMs, detail};
}
