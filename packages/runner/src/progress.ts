import type {Instant} from '#model';
import type {Run} from './run.js';

/** A run without progress for this long stands still, in ms; longer tasks show theirs more rarely. */
const minStallMs = 700;
const stallShare = 0.35;

/** Notes the progress that the executor reports; true when the run has stood still for too long. */
export function updateProgress(
  run: Run,
  percent: number,
  slowness: number,
  now: Instant,
): boolean {
  if (percent !== run.percent) {
    run.percent = percent;
    run.progressedAt = now;
  }
  if (run.phase.kind !== 'running') return false;
  const usualMs = run.estimateMs * Math.max(1, slowness);
  const limitMs = Math.max(minStallMs, stallShare * usualMs);
  return now - run.progressedAt >= limitMs;
}
