import {build} from 'hdr-histogram-js';
import type {JobRecord} from './caller.js';

export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const unitsPerMs = 1000;

/** Summarizes times in ms. */
export function summarizeTimes(times: readonly number[]): LatencySummary {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3600 * 1000 * unitsPerMs,
    numberOfSignificantValueDigits: 3,
  });
  for (const ms of times) {
    histogram.recordValue(Math.max(1, Math.round(ms * unitsPerMs)));
  }
  const read = (percentile: number) =>
    times.length === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / unitsPerMs;
  return {
    count: times.length,
    p50Ms: read(50),
    p90Ms: read(90),
    p99Ms: read(99),
    maxMs: read(100),
  };
}

/** How long a completed job took from its first submission; undefined for another one. */
export function measureResponse(record: JobRecord): number | undefined {
  const done = record.attempts.find(({outcome}) => outcome.kind === 'complete');
  if (done === undefined) return undefined;
  const startedAt = Math.min(...record.attempts.map(each => each.startedAt));
  return done.endedAt - startedAt;
}

/** A job's time on an idle site of targets at pace 1: that of its longest task. */
export function computeIdealMs({plan}: JobRecord): number {
  return Math.max(...plan.tasks.map(({payload}) => payload.sleepMs));
}
