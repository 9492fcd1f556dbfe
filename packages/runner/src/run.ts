import type {Instant, ResourceRequest, RunEnd, RunRef} from '#model';
import type {RunBatch, RunTicket} from '#protocol';

/** The state of a run at the runner. */
export type RunPhase =
  /** Accepted, not yet sent to the executor. */
  | {readonly kind: 'waiting'}
  | {readonly kind: 'starting'; readonly sentAt: Instant}
  | {readonly kind: 'running'; readonly confirmedAt: Instant}
  /** To be stopped; the executor may or may not have it. */
  | {
      readonly kind: 'stopping';
      /** Reported to the dispatcher once the run has certainly ended. */
      readonly end: RunEnd;
      /** When the executor answered the stop. */
      readonly stoppedAt?: Instant;
    };

/** One run of a task, from its acceptance to its end. */
export interface Run {
  readonly ticket: RunTicket;
  readonly ref: RunRef;
  readonly payload: string;
  readonly demand: ResourceRequest;
  readonly estimateMs: number;
  readonly rank: number;
  phase: RunPhase;
  /** When its start was sent; set once the executor is known to have started it. */
  startedAt?: Instant;
  /** The last reported progress, from 0 to 100, and when it changed. */
  percent: number;
  progressedAt: Instant;
  /** The time up to which its work is counted in the target's statistics. */
  measuredAt: Instant;
}

/** Formats a key that is unique among the runs of an executor. */
export function formatRun({job, step, index, run}: RunRef): string {
  return `${job}.${step}.${index}#${run}`;
}

/** Creates the runs of a batch in the state `waiting`. */
export function openRuns(batch: RunBatch, now: Instant): readonly Run[] {
  const {job, step, payload, demand, estimateMs, rankMs, runs} = batch;
  return runs.map(([ticket, index, run]) => ({
    ticket,
    ref: {job, step, index, run},
    payload,
    demand,
    estimateMs,
    rank: now + rankMs,
    phase: {kind: 'waiting'},
    percent: 0,
    progressedAt: now,
    measuredAt: now,
  }));
}

/** Records when the executor started a run; only the first call counts. */
export function markStarted(run: Run, at: Instant): void {
  if (run.startedAt !== undefined) return;
  run.startedAt = at;
  run.measuredAt = at;
}
