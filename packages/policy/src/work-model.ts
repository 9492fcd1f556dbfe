/** What is known of the run times of one queue's tasks. Immutable. */
export interface WorkModel {
  /** Natural logarithm of the usual work of a task, in ms at a target of mean speed. */
  readonly logWork: number;
  /** Natural logarithm of the work over what callers estimated. */
  readonly logBias: number;
  /** Tasks seen so far. */
  readonly samples: number;
}

/** One task that has succeeded. */
export interface WorkSample {
  /** As its caller estimated, in ms. */
  readonly estimateMs: number;
  readonly runMs: number;
  /** The target's slowness over the mean of all targets'. */
  readonly relativeSlowness: number;
}

export const unknownWork: WorkModel = {logWork: 0, logBias: 0, samples: 0};

/** Weight of the latest task: some hundred tasks are remembered, seconds of a busy queue. */
const sampleWeight = 0.01;
/** Before so many tasks are known, callers' estimates are taken as they are. */
const minSamples = 30;
/** A target that is this much off its usual speed says nothing about the work. */
const maxRelativeSlowness = 2.5;
/** Callers' estimates and the differences between jobs are about as wide, so each counts half. */
const estimateShare = 0.5;

/** Notes the run time of a task. */
export function observeRun(
  model: WorkModel,
  {estimateMs, runMs, relativeSlowness}: WorkSample,
): WorkModel {
  if (estimateMs <= 0 || runMs <= 0) return model;
  if (relativeSlowness > maxRelativeSlowness) return model;
  const {logWork, logBias, samples} = model;
  const work = Math.log(runMs / relativeSlowness);
  const weight = Math.max(sampleWeight, 1 / (samples + 1));
  return {
    logWork: logWork + weight * (work - logWork),
    logBias: logBias + weight * (work - Math.log(estimateMs) - logBias),
    samples: samples + 1,
  };
}

/**
 * Predicts the work of a task from its caller's estimate, in ms at a target of mean speed. Load
 * pattern: estimates that are off by half, one way on the whole; taken as they are, jobs count as late
 * that are in time, and are begun too late on slow targets.
 */
export function predictWorkMs(
  {logWork, logBias, samples}: WorkModel,
  estimateMs: number,
): number {
  if (samples < minSamples || estimateMs <= 0) return estimateMs;
  const corrected = Math.log(estimateMs) + logBias;
  return Math.exp(estimateShare * corrected + (1 - estimateShare) * logWork);
}
