import type {Instant, RoomDemand, RunEnd, RunRef} from '#model';
import type {RunBatch, RunTicket} from '#protocol';

/** Where a run stands at the runner. */
export type RunPhase =
  /** Accepted; nothing was sent to the executor. */
  | {readonly kind: 'waiting'}
  | {readonly kind: 'starting'; readonly sentAt: Instant}
  | {readonly kind: 'running'; readonly confirmedAt: Instant}
  /** It is to end; the executor may or may not have it. */
  | {
      readonly kind: 'stopping';
      /** Told to the dispatcher once the run is surely over. */
      readonly end: RunEnd;
      /** The executor has answered the stop. */
      readonly stoppedAt?: Instant;
    };

/** One run of a task, from its acceptance until its end is told. */
export interface Run {
  readonly ticket: RunTicket;
  readonly ref: RunRef;
  readonly payload: string;
  readonly demand: RoomDemand;
  readonly estimateMs: number;
  readonly rank: number;
  phase: RunPhase;
  /** When the executor took it. */
  startedAt?: Instant;
  /** The last progress seen, and when it changed. */
  percent: number;
  progressedAt: Instant;
  /** Up to when its progress is known. */
  measuredAt: Instant;
}

/** Names a run among all of its executor. */
export function formatRun({job, step, index, run}: RunRef): string {
  return `${job}.${step}.${index}#${run}`;
}

/** Opens the runs of a batch, none of which was sent to the executor. */
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

/** Notes when the executor took a run; the first time counts. */
export function markStarted(run: Run, at: Instant): void {
  if (run.startedAt !== undefined) return;
  run.startedAt = at;
  run.measuredAt = at;
}
