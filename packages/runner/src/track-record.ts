/** Work that was seen to be done, and the run time that it took. */
export interface ObservedWork {
  /** In ms of callers' estimates. */
  readonly workMs: number;
  /** Summed over the runs. */
  readonly runMs: number;
}

/** How a target's recent runs went. Immutable. */
export interface TrackRecord {
  /** Run time over the callers' estimates, as of now; 1 before any. */
  readonly slowness: number;
  /** The same over a long time. */
  readonly usualSlowness: number;
  /** Share of runs that failed, from 0 to 1. */
  readonly failing: number;
  /** Observed since the last sample. */
  readonly pending: ObservedWork;
  /** Samples of the speed taken so far. */
  readonly samples: number;
}

const nothingObserved: ObservedWork = {workMs: 0, runMs: 0};

export const freshRecord: TrackRecord = {
  slowness: 1,
  usualSlowness: 1,
  failing: 0,
  pending: nothingObserved,
  samples: 0,
};

/** Run time that makes a sample of the speed, in ms: ten runs side by side give one in a tenth of a second. */
const sampleRunMs = 1000;
/** Weight of a sample: estimates are off by half, so that one says little about a steady target. */
const steadyWeight = 0.2;
/** Weight of a sample that is off by more than `abruptFactor`: the target has changed its speed. */
const abruptWeight = 0.6;
const abruptFactor = 2;
const usualWeight = 0.01;
/** A target that does no work at all counts as this slow. */
const maxSlowness = 20;
const failingWeight = 0.15;
/** Of the failures remembered, what is left after a tick of 50 ms: half in 3 s. */
const coolingPerTick = 0.988;
const minFailing = 0.001;
/** An idle target comes back to its usual speed by this share of the difference a tick: half in 2 s. */
const recoveryPerTick = 0.017;

/**
 * Notes work that running and ended runs have done. Load pattern: a target that turns several times
 * slower is known by its runs' progress long before the first of them ends.
 */
export function observeWork(
  record: TrackRecord,
  {workMs, runMs}: ObservedWork,
): TrackRecord {
  const pending = {
    workMs: record.pending.workMs + workMs,
    runMs: record.pending.runMs + runMs,
  };
  if (pending.runMs < sampleRunMs) return {...record, pending};
  const {slowness, usualSlowness, samples} = record;
  const sample = Math.min(maxSlowness, pending.runMs / pending.workMs);
  const isAbrupt =
    sample > slowness * abruptFactor || sample < slowness / abruptFactor;
  const weight = isAbrupt ? abruptWeight : steadyWeight;
  const longWeight = Math.max(usualWeight, 1 / (samples + 1));
  return {
    ...record,
    slowness: slowness + weight * (sample - slowness),
    usualSlowness: usualSlowness + longWeight * (sample - usualSlowness),
    pending: nothingObserved,
    samples: samples + 1,
  };
}

/** Notes a run that succeeded. */
export function recordSuccess(record: TrackRecord): TrackRecord {
  return {...record, failing: record.failing * (1 - failingWeight)};
}

/** Notes a run that failed or stood still. */
export function recordFailure(record: TrackRecord): TrackRecord {
  return {
    ...record,
    failing: record.failing + failingWeight * (1 - record.failing),
  };
}

/** Forgets failures little by little, once a tick, so that a target that got no runs is tried again. */
export function decreaseFailing(record: TrackRecord): TrackRecord {
  if (record.failing < minFailing) return record;
  return {...record, failing: record.failing * coolingPerTick};
}

/** Brings an idle target back to its usual speed, once a tick, so that it is tried again. */
export function recoverSpeed(record: TrackRecord): TrackRecord {
  const {slowness, usualSlowness} = record;
  return {
    ...record,
    slowness: slowness + recoveryPerTick * (usualSlowness - slowness),
  };
}
