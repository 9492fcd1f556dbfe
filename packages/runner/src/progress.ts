import type {Instant} from '#model';
import type {Run} from './run.js';
import type {ObservedWork} from './target-stats.js';

/** A run without progress for this long is stalled, in ms; longer tasks get longer, as their progress changes less often. */
const minStallMs = 250;
/** Progress is reported in hundredths of the work, so a fifth of the expected run time without any is far from normal. */
const stallShare = 0.2;
const completePercent = 100;

/** Records the reported progress of a run and returns the work done since the last report. */
export function updateProgress(
  run: Run,
  percent: number,
  now: Instant,
): ObservedWork {
  const work: ObservedWork = {
    workMs:
      (Math.max(0, percent - run.percent) / completePercent) * run.estimateMs,
    runMs: Math.max(0, now - run.measuredAt),
  };
  run.measuredAt = now;
  if (percent !== run.percent) {
    run.percent = percent;
    run.progressedAt = now;
  }
  return work;
}

/** Records that a run has just succeeded and returns the work done since the last report. */
export function completeProgress(run: Run, now: Instant): ObservedWork {
  return updateProgress(run, completePercent, now);
}

/** Limits how often the time allowed without progress is doubled for one task. */
const maxDoublings = 8;

/**
 * True when a run has made no progress for too long, given the target's long-term slowness. Each
 * further run of a task gets twice the time, as it may take far longer than its caller estimated.
 */
export function isStalled(
  {phase, ref, estimateMs, progressedAt}: Run,
  slowness: number,
  now: Instant,
): boolean {
  if (phase.kind !== 'running') return false;
  const usualMs = estimateMs * Math.max(1, slowness);
  const timeoutFactor = 2 ** Math.min(maxDoublings, ref.run - 1);
  const limitMs = Math.max(minStallMs, stallShare * usualMs);
  return now - progressedAt >= timeoutFactor * limitMs;
}
