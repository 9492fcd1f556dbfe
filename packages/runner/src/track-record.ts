/** How a target's recent runs went. Immutable. */
export interface TrackRecord {
  /** Run time over the callers' estimates; 1 before any. */
  readonly slowness: number;
  /** Share of runs that failed, from 0 to 1. */
  readonly failing: number;
}

export const freshRecord: TrackRecord = {slowness: 1, failing: 0};

/** Weight of the latest run: estimates are off by half, so that ten or so are needed to see a speed. */
const slownessWeight = 0.08;
const failingWeight = 0.15;
/** Of the failures remembered, what is left after a tick of 50 ms: half in 3 s. */
const coolingPerTick = 0.988;
const minFailing = 0.001;
/** One estimate that is far off counts as no more than this. */
const maxRatio = 10;

/** Notes a run that succeeded. */
export function recordSuccess(
  record: TrackRecord,
  runMs: number,
  estimateMs: number,
): TrackRecord {
  const ratio = Math.min(maxRatio, runMs / Math.max(1, estimateMs));
  return {
    slowness: record.slowness + slownessWeight * (ratio - record.slowness),
    failing: record.failing * (1 - failingWeight),
  };
}

/** Forgets failures little by little, once a tick, so that a target that got no runs is tried again. */
export function decreaseFailing(record: TrackRecord): TrackRecord {
  if (record.failing < minFailing) return record;
  return {...record, failing: record.failing * coolingPerTick};
}

/** Notes a run that failed or stood still. */
export function recordFailure(record: TrackRecord): TrackRecord {
  return {
    ...record,
    failing: record.failing + failingWeight * (1 - record.failing),
  };
}
