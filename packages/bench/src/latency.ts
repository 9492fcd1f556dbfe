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

/** Summarizes times in ms; all figures are 0 when there are none. */
export function summarizeTimes(times: readonly number[]): LatencySummary {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3600 * 1000 * unitsPerMs,
    numberOfSignificantValueDigits: 3,
  });
  for (const ms of times) {
    histogram.recordValue(Math.max(1, Math.round(ms * unitsPerMs)));
  }
  const readPercentileMs = (percentile: number) =>
    times.length === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / unitsPerMs;
  return {
    count: times.length,
    p50Ms: readPercentileMs(50),
    p90Ms: readPercentileMs(90),
    p99Ms: readPercentileMs(99),
    maxMs: readPercentileMs(100),
  };
}

/** Returns the time in ms from a job's first submission to its complete answer; undefined without one. */
export function measureResponse(record: JobRecord): number | undefined {
  const done = record.attempts.find(({outcome}) => outcome.kind === 'complete');
  if (done === undefined) return undefined;
  const startedAt = Math.min(...record.attempts.map(each => each.startedAt));
  return done.endedAt - startedAt;
}

/** Returns a job's response time on an idle site at speed factor 1: the run time of its longest task. */
export function computeIdealMs({plan}: JobRecord): number {
  return Math.max(...plan.tasks.map(({payload}) => payload.sleepMs));
}
