/** Work done by runs, and the run time that it took. */
export interface ObservedWork {
  /** The work in ms of callers' estimated run time. */
  readonly workMs: number;
  /** The elapsed run time in ms, summed over the runs. */
  readonly runMs: number;
}

/** Statistics of a target's recent runs. Immutable. */
export interface TargetStats {
  /** Recent ratio of run time to callers' estimates; 1 before the first sample. */
  readonly slowness: number;
  /** The same ratio, averaged over a long time. */
  readonly baselineSlowness: number;
  /** Recent share of runs that failed, from 0 to 1. */
  readonly failing: number;
  /** Work observed since the last sample. */
  readonly pending: ObservedWork;
  /** The number of samples so far. */
  readonly samples: number;
}

const noWork: ObservedWork = {workMs: 0, runMs: 0};

export const initialStats: TargetStats = {
  slowness: 1,
  baselineSlowness: 1,
  failing: 0,
  pending: noWork,
  samples: 0,
};

/** Run time that makes up one sample of the slowness, in ms: ten concurrent runs yield one in a tenth of a second. */
const sampleRunMs = 1000;
/** Weight of an ordinary sample: estimates are off by half, so a single sample says little about a steady target. */
const steadyWeight = 0.2;
/** Weight of a sample that differs by more than `abruptFactor`: the target's speed has changed. */
const abruptWeight = 0.6;
const abruptFactor = 2;
const baselineWeight = 0.01;
/** The upper bound of a sample, which a target that does no work at all reaches. */
const maxSlowness = 20;
const failingWeight = 0.15;
/** Factor by which the share of failures decays at each tick of 50 ms: by half in 3 s. */
const failingDecayPerTick = 0.988;
const minFailing = 0.001;
/** Share of its difference from the baseline by which an idle target's slowness recovers at each tick: half in 2 s. */
const recoveryPerTick = 0.017;

/**
 * Records work done by running and ended runs. Running ones count because a target that becomes several
 * times slower is detected by their progress long before the first of them ends.
 */
export function observeWork(
  stats: TargetStats,
  {workMs, runMs}: ObservedWork,
): TargetStats {
  const pending = {
    workMs: stats.pending.workMs + workMs,
    runMs: stats.pending.runMs + runMs,
  };
  if (pending.runMs < sampleRunMs) return {...stats, pending};
  const {slowness, baselineSlowness, samples} = stats;
  const sample = Math.min(maxSlowness, pending.runMs / pending.workMs);
  const isAbrupt =
    sample > slowness * abruptFactor || sample < slowness / abruptFactor;
  const weight = isAbrupt ? abruptWeight : steadyWeight;
  const slowWeight = Math.max(baselineWeight, 1 / (samples + 1));
  return {
    ...stats,
    slowness: slowness + weight * (sample - slowness),
    baselineSlowness:
      baselineSlowness + slowWeight * (sample - baselineSlowness),
    pending: noWork,
    samples: samples + 1,
  };
}

/** Records a run that succeeded. */
export function recordSuccess(stats: TargetStats): TargetStats {
  return {...stats, failing: stats.failing * (1 - failingWeight)};
}

/** Records a run that failed, stalled or could not be started. */
export function recordFailure(stats: TargetStats): TargetStats {
  return {
    ...stats,
    failing: stats.failing + failingWeight * (1 - stats.failing),
  };
}

/** Decays the share of failures, once per tick, so that a target that gets no runs is tried again. */
export function decreaseFailing(stats: TargetStats): TargetStats {
  if (stats.failing < minFailing) return stats;
  return {...stats, failing: stats.failing * failingDecayPerTick};
}

/** Moves an idle target's slowness towards its baseline, once per tick, so that the target is tried again. */
export function recoverSpeed(stats: TargetStats): TargetStats {
  const {slowness, baselineSlowness} = stats;
  return {
    ...stats,
    slowness: slowness + recoveryPerTick * (baselineSlowness - slowness),
  };
}
