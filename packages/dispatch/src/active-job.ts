import type {Instant, QueueConfig, QueuedJob, TargetId} from '#model';
import {
  computeDueMs,
  computeUsefulMs,
  estimateChainMs,
  hasReady,
  type JobState,
  openJob,
} from '#jobs';
import {rankWork} from '#policy';
import type {JobEnd, RunTicket} from '#protocol';

/** A queued job and its caller's patience. */
export interface JobSubmission {
  readonly job: QueuedJob;
  readonly queue: QueueConfig;
  /** When the caller handed it in. */
  readonly arrivedAt: Instant;
  /** When the caller leaves. */
  readonly leavesAt: Instant;
}

/** What became of a submitted job. */
export type JobOutcome = JobEnd;

/** A job in hand, with what is known of its runs. */
export interface ActiveJob {
  /** With the work that is expected of its tasks in place of its caller's estimates. */
  state: JobState;
  readonly submitted: QueuedJob;
  readonly queue: QueueConfig;
  readonly arrivedAt: Instant;
  readonly dueAt: Instant;
  /** When its answer is of no use any more. */
  readonly uselessAt: Instant;
  readonly leavesAt: Instant;
  readonly chainMs: number;
  /** Tickets of runs that are not known to be over. */
  readonly tickets: Map<RunTicket, TargetId>;
  /** Set once a run of it may have begun that is over, here or at another dispatcher. */
  hasRun: boolean;
  /** Set once its tasks were compared with what targets can hold at all. */
  isExamined: boolean;
  /** Set while nothing of it is to be placed. */
  isHeldBack: boolean;
  /** Set once its callers were answered; runs may still be ending. */
  isAnswered: boolean;
  /** Called when it was answered and nothing of it runs any more. */
  readonly closers: (() => void)[];
  /** Told the outcome, once each. */
  readonly waiters: ((outcome: JobOutcome) => void)[];
  expiry: NodeJS.Timeout | undefined;
}

/** Opens a job with the work that is expected of its tasks; `onOutcome` is told what becomes of it. */
export function openActiveJob(
  {job: submitted, queue, arrivedAt, leavesAt}: JobSubmission,
  job: QueuedJob,
  isFirst: boolean,
  onOutcome: (outcome: JobOutcome) => void,
): ActiveJob {
  const uselessAt = arrivedAt + computeUsefulMs(job, queue.objective);
  return {
    state: openJob(job, queue.maxAttempts),
    submitted,
    queue,
    arrivedAt,
    dueAt: arrivedAt + computeDueMs(job, queue.objective),
    uselessAt: Math.min(leavesAt, uselessAt),
    leavesAt,
    chainMs: estimateChainMs(job),
    tickets: new Map(),
    hasRun: !isFirst,
    isExamined: false,
    isHeldBack: false,
    isAnswered: false,
    closers: [],
    waiters: [onOutcome],
    expiry: undefined,
  };
}

/** True when no run of a job has begun, nor can one begin that was placed already. */
export function isUntouched({hasRun, tickets}: ActiveJob): boolean {
  return !hasRun && tickets.size === 0;
}

/** A start and the report of an end take this long, in ms: two messages between hosts and one to the executor each. */
const orderMs = 12;

/** Ranks a job for room: by the last moment at which what is left of it can be begun. */
export function rankJob(
  {state, queue, dueAt, chainMs}: ActiveJob,
  now: Instant,
): number {
  const restMs = Math.min(chainMs, estimateRestMs(state));
  const latestStart = dueAt - restMs - orderMs;
  return rankWork({latestStart, priority: queue.priority}, now);
}

function estimateRestMs(state: JobState): number {
  if (state.job.steps.length > 1) return estimateChainMs(state.job);
  return hasReady(state) ? state.job.steps[0]!.estimateMs : 0;
}
