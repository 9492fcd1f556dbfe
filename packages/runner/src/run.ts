import {isDeepStrictEqual} from 'node:util';
import type {
  Instant,
  ResourceRequest,
  RunEnd,
  RunRef,
  ServiceName,
} from '#model';
import {canHoldWhenEmpty} from '#policy';
import type {ExecutorDescription, RunBatch, RunTicket} from '#protocol';
import type {ExecutorInfo} from './executor.js';

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
  /** Unset when the dispatcher did not send it. */
  readonly service?: ServiceName;
  readonly requiredLabel?: string;
  readonly estimateMs: number;
  readonly rank: number;
  /** False when it is to be returned at once unless it can start. */
  readonly mayWait: boolean;
  phase: RunPhase;
  /** True once the executor's lists have shown it at work. */
  isListed: boolean;
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
  const {service, requiredLabel} = batch;
  return runs.map(([ticket, index, run]) => ({
    ticket,
    ref: {job, step, index, run},
    payload,
    demand,
    service,
    requiredLabel,
    estimateMs,
    rank: now + rankMs,
    mayWait: batch.mayWait ?? true,
    phase: {kind: 'waiting'},
    isListed: false,
    percent: 0,
    progressedAt: now,
    measuredAt: now,
  }));
}

/** Describes an executor to dispatchers; returns the known description while it is the same. */
export function describeExecutor(
  {service, room}: ExecutorInfo,
  known: ExecutorDescription | undefined,
): ExecutorDescription {
  const description = {service, capacity: room};
  return isDeepStrictEqual(description, known) ? known! : description;
}

/**
 * Whether an executor may run a task: it serves the task's service, has the required label, and could
 * hold the task when empty. A dispatcher may have placed the run for the executor's predecessor.
 */
export function canRunOn(
  {service, requiredLabel, demand}: Run,
  executor: ExecutorDescription,
): boolean {
  return (
    (service === undefined || service === executor.service) &&
    canHoldWhenEmpty(executor, {demand, requiredLabel})
  );
}

/** Records when the executor started a run; only the first call counts. */
export function markStarted(run: Run, at: Instant): void {
  if (run.startedAt !== undefined) return;
  run.startedAt = at;
  run.measuredAt = at;
}

/** Records that the executor has confirmed the start of a run, which was sent at `sentAt`. */
export function confirmStart(run: Run, sentAt: Instant, now: Instant): void {
  markStarted(run, sentAt);
  run.progressedAt = now;
  run.phase = {kind: 'running', confirmedAt: now};
}
