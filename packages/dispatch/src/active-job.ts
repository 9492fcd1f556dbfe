import type {Instant, QueueConfig, QueuedJob, TargetId} from '#model';
import {type JobState, estimateChainMs, listReady} from '#jobs';
import type {RunTicket} from '#protocol';

/** A queued job and its caller's patience. */
export interface JobSubmission {
  readonly job: QueuedJob;
  readonly queue: QueueConfig;
  /** When the caller leaves. */
  readonly leavesAt: Instant;
}

/** What became of a submitted job. */
export type JobOutcome =
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  /** Nothing of it has run, and nothing will. */
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      readonly detail: string;
    }
  /** Its caller's time was over first; some of it may have run. */
  | {readonly kind: 'expired'};

/** A job in hand, with what is known of its runs. */
export interface ActiveJob {
  state: JobState;
  readonly queue: QueueConfig;
  readonly acceptedAt: Instant;
  readonly dueAt: Instant;
  readonly leavesAt: Instant;
  readonly chainMs: number;
  /** Tickets of runs that are not known to be over. */
  readonly tickets: Map<RunTicket, TargetId>;
  hasRun: boolean;
  /** Set once its callers were answered; runs may still be ending. */
  isAnswered: boolean;
  /** Called when it was answered and nothing of it runs any more. */
  readonly closers: (() => void)[];
  /** Told the outcome, once each. */
  readonly waiters: ((outcome: JobOutcome) => void)[];
  expiry: NodeJS.Timeout | undefined;
}

/** Jobs that cannot be in time any more come after all that can. */
const lateRank = 1e12;

/** Ranks jobs for room: the one that must start soonest to be in time goes first. */
export function rankJob(
  {state, dueAt, chainMs}: ActiveJob,
  now: Instant,
): number {
  const latestStart = dueAt - Math.min(chainMs, estimateRestMs(state));
  return latestStart >= now ? latestStart : lateRank + dueAt;
}

function estimateRestMs(state: JobState): number {
  if (state.job.steps.length > 1) return estimateChainMs(state.job);
  const ready = listReady(state);
  return ready.length === 0 ? 0 : state.job.steps[0]!.estimateMs;
}
