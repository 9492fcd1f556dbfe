import type {Instant} from '#model';

/** A run in progress, as its dispatcher sees it. */
export interface MovableRun {
  readonly estimateMs: number;
  readonly placedAt: Instant;
  /** Slowness of its target (run time / callers' estimates) when the run was placed there. */
  readonly slownessAtPlacement: number;
  /** Time by which its job should end. */
  readonly dueAt: Instant;
  /** When its caller stops waiting. */
  readonly callerDeadline: Instant;
}

/** A run is moved only when its target has become slower by at least this factor. */
const minSlowdownFactor = 1.8;
/** Minimum fraction of its work that a run is assumed to have left, even after its estimated end. */
const minRemainingRatio = 0.3;
/** Time to stop a run and start it at another target, which takes a stop, a report and a start message. */
const moveOverheadMs = 30;

/** Whether a target has become so much slower that moving its runs should be considered. */
export function isSlowed(
  slownessAtPlacement: number,
  currentSlowness: number,
): boolean {
  return currentSlowness >= slownessAtPlacement * minSlowdownFactor;
}

/** Estimates when a run ends at its present target at the present slowness. */
export function estimateEnd(
  {estimateMs, placedAt, slownessAtPlacement}: MovableRun,
  currentSlowness: number,
  now: Instant,
): Instant {
  const doneMs = (now - placedAt) / slownessAtPlacement;
  const remainingMs = Math.max(
    minRemainingRatio * estimateMs,
    estimateMs - doneMs,
  );
  return now + remainingMs * currentSlowness;
}

/**
 * Whether a run should be stopped and started again at another target, where it would take
 * `elsewhereMs`. When some targets become several times slower while others have free capacity, each job
 * with a task on a slow target would otherwise end late, or after its caller has stopped waiting.
 */
export function shouldMove(
  run: MovableRun,
  currentSlowness: number,
  elsewhereMs: number,
  now: Instant,
): boolean {
  if (!isSlowed(run.slownessAtPlacement, currentSlowness)) return false;
  const endsAt = estimateEnd(run, currentSlowness, now);
  const movedEndsAt = now + moveOverheadMs + elsewhereMs;
  return [run.dueAt, run.callerDeadline].some(
    limit => endsAt > limit && movedEndsAt <= limit,
  );
}
