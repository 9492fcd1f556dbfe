/** Immutable model of the work per task of one queue, learned from run times. */
export interface WorkModel {
  /** Mean natural logarithm of the work of a task, in ms at a target of mean speed. */
  readonly logWork: number;
  /** Mean natural logarithm of the ratio of the work to the caller's estimate. */
  readonly logBias: number;
  /** Tasks observed so far. */
  readonly samples: number;
}

/** Run of one task that succeeded. */
export interface WorkSample {
  /** The caller's estimate, in ms. */
  readonly estimateMs: number;
  readonly runMs: number;
  /** Slowness of the target divided by the mean of all targets. */
  readonly relativeSlowness: number;
}

export const initialWorkModel: WorkModel = {logWork: 0, logBias: 0, samples: 0};

/** Minimum weight of a new sample: the model averages about a hundred tasks, a few seconds of a busy queue. */
const minSampleWeight = 0.01;
/** Callers' estimates are used uncorrected until this many tasks were observed. */
const minSamples = 30;
/** Runs on targets this much slower than the mean are ignored: they are no evidence of the work. */
const maxRelativeSlowness = 2.5;
/** Weight of the corrected estimate against the mean work: half, as estimation errors vary about as much as jobs do. */
const estimateWeight = 0.5;

/** Adds the run of a task to the model. */
export function observeRun(
  model: WorkModel,
  {estimateMs, runMs, relativeSlowness}: WorkSample,
): WorkModel {
  if (estimateMs <= 0 || runMs <= 0) return model;
  if (relativeSlowness > maxRelativeSlowness) return model;
  const {logWork, logBias, samples} = model;
  const work = Math.log(runMs / relativeSlowness);
  const weight = Math.max(minSampleWeight, 1 / (samples + 1));
  return {
    logWork: logWork + weight * (work - logWork),
    logBias: logBias + weight * (work - Math.log(estimateMs) - logBias),
    samples: samples + 1,
  };
}

/**
 * Predicts the work of a task from its caller's estimate, in ms at a target of mean speed. Estimates may
 * be biased and off by half. Uncorrected, they make jobs that are in time count as late, and make jobs
 * start too late on slow targets.
 */
export function predictWorkMs(
  {logWork, logBias, samples}: WorkModel,
  estimateMs: number,
): number {
  if (samples < minSamples || estimateMs <= 0) return estimateMs;
  const corrected = Math.log(estimateMs) + logBias;
  return Math.exp(estimateWeight * corrected + (1 - estimateWeight) * logWork);
}
