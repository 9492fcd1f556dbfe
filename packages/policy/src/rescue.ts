import type {Instant} from '#model';

/** A run under way, as its dispatcher sees it. */
export interface MovableRun {
  readonly estimateMs: number;
  readonly placedAt: Instant;
  /** Run time over callers' estimates at its target when it was placed there. */
  readonly slownessThen: number;
  /** When its job is due. */
  readonly dueAt: Instant;
  /** When its caller leaves. */
  readonly leavesAt: Instant;
}

/** A target must have become this much slower than it was before a run is taken from it. */
const minSlowdown = 1.8;
/** A run that should have ended by now has this much of its work left. */
const minRestShare = 0.3;
/** Ending a run and beginning it elsewhere takes this long, in ms: a stop, a report and a start. */
const moveMs = 30;

/** True when a target has become so much slower that its runs are worth a look. */
export function isSlowed(slownessThen: number, slownessNow: number): boolean {
  return slownessNow >= slownessThen * minSlowdown;
}

/** Estimates when a run ends where it is, after its target has become slower. */
export function estimateEnd(
  {estimateMs, placedAt, slownessThen}: MovableRun,
  slownessNow: number,
  now: Instant,
): Instant {
  const doneMs = (now - placedAt) / slownessThen;
  const restMs = Math.max(minRestShare * estimateMs, estimateMs - doneMs);
  return now + restMs * slownessNow;
}

/**
 * Tells whether a run is to be ended and begun anew at another target, which does it in `elsewhereMs`.
 * Load pattern: some targets turn several times slower while the others have room; each job with one
 * task there would be late, or last for longer than its caller waits.
 */
export function shouldMove(
  run: MovableRun,
  slownessNow: number,
  elsewhereMs: number,
  now: Instant,
): boolean {
  if (!isSlowed(run.slownessThen, slownessNow)) return false;
  const endsAt = estimateEnd(run, slownessNow, now);
  const movedEndsAt = now + moveMs + elsewhereMs;
  return [run.dueAt, run.leavesAt].some(
    limit => endsAt > limit && movedEndsAt <= limit,
  );
}
