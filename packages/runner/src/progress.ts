import type {Instant} from '#model';
import type {Run} from './run.js';
import type {ObservedWork} from './track-record.js';

/** A run without progress for this long stands still, in ms; longer tasks show theirs more rarely. */
const minStallMs = 250;
/** Progress comes in hundredths of the work: a fifth of it without any is far beyond the usual. */
const stallShare = 0.2;
const whole = 100;

/** Notes the progress that the executor reports, and returns what it has done since the last report. */
export function updateProgress(
  run: Run,
  percent: number,
  now: Instant,
): ObservedWork {
  const work: ObservedWork = {
    workMs: (Math.max(0, percent - run.percent) / whole) * run.estimateMs,
    runMs: Math.max(0, now - run.measuredAt),
  };
  run.measuredAt = now;
  if (percent !== run.percent) {
    run.percent = percent;
    run.progressedAt = now;
  }
  return work;
}

/** What a run that has just succeeded did since the last report. */
export function completeProgress(run: Run, now: Instant): ObservedWork {
  return updateProgress(run, whole, now);
}

/** A task that was stopped this often gets no longer time any more. */
const maxDoublings = 8;

/**
 * True when a run has made no progress for too long, at the target's usual slowness. Each further run
 * of a task gets twice the time: it may take far longer than its caller estimated.
 */
export function isStalled(
  {phase, ref, estimateMs, progressedAt}: Run,
  slowness: number,
  now: Instant,
): boolean {
  if (phase.kind !== 'running') return false;
  const usualMs = estimateMs * Math.max(1, slowness);
  const patience = 2 ** Math.min(maxDoublings, ref.run - 1);
  const limitMs = Math.max(minStallMs, stallShare * usualMs);
  return now - progressedAt >= patience * limitMs;
}
