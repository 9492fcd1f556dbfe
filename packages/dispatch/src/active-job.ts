import {
  failUnreachable,
  type Instant,
  type QueueConfig,
  type QueuedJob,
  type TargetId,
} from '#model';
import {
  computeDueMs,
  computeUsefulLifetimeMs,
  estimateCriticalPathMs,
  hasReadyTask,
  type JobState,
  openJob,
} from '#jobs';
import {rankWork} from '#policy';
import type {JobEnd, RelayJobParams, RunTicket} from '#protocol';

/** A queued job and how long its caller waits for it. */
export interface JobSubmission {
  readonly job: QueuedJob;
  readonly queue: QueueConfig;
  /** When the caller submitted it. */
  readonly arrivedAt: Instant;
  /** When the caller stops waiting. */
  readonly callerDeadline: Instant;
}

export type JobOutcome = JobEnd;

/** Describes the outcome of a relayed job to the dispatcher or entry that it came from. */
export function describeEnd(
  {knowsCancelled = false}: RelayJobParams,
  outcome: JobOutcome,
): JobEnd {
  return outcome.kind === 'cancelled' && !knowsCancelled
    ? {kind: 'expired'}
    : outcome;
}

/** An outcome after which the job is not run again. */
export type FinalOutcome = Extract<
  JobOutcome,
  {kind: 'completed' | 'failed' | 'cancelled'}
>;

/** True for an outcome after which the job is not run again. */
export function isFinal(outcome: JobOutcome): outcome is FinalOutcome {
  switch (outcome.kind) {
    case 'completed':
    case 'failed':
    case 'cancelled':
      return true;
    case 'refused':
    case 'expired':
      return false;
    default:
      return failUnreachable(outcome);
  }
}

/** An accepted job that has not been forgotten yet, and what is known of its runs. */
export interface ActiveJob {
  /** The estimates in it are predicted ones, not the caller's. */
  state: JobState;
  readonly submitted: QueuedJob;
  readonly queue: QueueConfig;
  /** When its caller submitted it. */
  readonly arrivedAt: Instant;
  /** When it should end, by the objective of its queue. */
  readonly dueAt: Instant;
  /** When its answer stops being useful; at the latest when its caller stops waiting. */
  readonly uselessAt: Instant;
  /** When its caller stops waiting. */
  readonly callerDeadline: Instant;
  /** Estimated run time of its critical path, in ms. */
  readonly chainMs: number;
  /** Tickets of the runs that are not known to have ended, and their targets. */
  readonly tickets: Map<RunTicket, TargetId>;
  /** When the waits of its tasks for targets near their data end, by step. */
  readonly nearWaits: Map<number, Instant>;
  /** Set once an ended run of it may have begun, here or at another dispatcher. */
  hasRun: boolean;
  /** Set once its tasks were checked against what connected targets can run when empty. */
  isFeasibilityChecked: boolean;
  /** Set while none of its tasks may be placed. */
  isHeldBack: boolean;
  /** Set once its callers have got the outcome; some of its runs may not have ended yet. */
  isAnswered: boolean;
  /** Each is called once the job was answered and all its runs have ended. */
  readonly runsEndedWaiters: (() => void)[];
  /** Each is called once, with the outcome. */
  readonly waiters: ((outcome: JobOutcome) => void)[];
  expiry: NodeJS.Timeout | undefined;
}

/** Creates an active job; the estimates in `job` are predicted ones. `onOutcome` is called with its outcome. */
export function openActiveJob(
  {job: submitted, queue, arrivedAt, callerDeadline}: JobSubmission,
  job: QueuedJob,
  isFirst: boolean,
  onOutcome: (outcome: JobOutcome) => void,
): ActiveJob {
  const uselessAt = arrivedAt + computeUsefulLifetimeMs(job, queue.objective);
  return {
    state: openJob(job, queue.maxAttempts),
    submitted,
    queue,
    arrivedAt,
    dueAt: arrivedAt + computeDueMs(job, queue.objective),
    uselessAt: Math.min(callerDeadline, uselessAt),
    callerDeadline,
    chainMs: estimateCriticalPathMs(job),
    tickets: new Map(),
    nearWaits: new Map(),
    hasRun: !isFirst,
    isFeasibilityChecked: false,
    isHeldBack: false,
    isAnswered: false,
    runsEndedWaiters: [],
    waiters: [onOutcome],
    expiry: undefined,
  };
}

/** True when no run of a job has begun and none is placed. */
export function isUnstarted({hasRun, tickets}: ActiveJob): boolean {
  return !hasRun && tickets.size === 0;
}

/** The time to start a run and report its end: for each, two messages between hosts and one with the executor. */
const startOverheadMs = 12;

/** Estimates the latest time at which a job's remaining work can start and still end in time. */
export function estimateLatestStart({
  state,
  dueAt,
  chainMs,
}: ActiveJob): Instant {
  const remainingWorkMs = Math.min(chainMs, estimateRemainingWorkMs(state));
  return dueAt - remainingWorkMs - startOverheadMs;
}

/** Ranks a job for placement, by the latest start of its remaining work. */
export function rankJob(job: ActiveJob, now: Instant): number {
  const latestStart = estimateLatestStart(job);
  return rankWork({latestStart, priority: job.queue.priority}, now);
}

function estimateRemainingWorkMs(state: JobState): number {
  if (state.job.steps.length > 1) return estimateCriticalPathMs(state.job);
  return hasReadyTask(state) ? state.job.steps[0]!.estimateMs : 0;
}
