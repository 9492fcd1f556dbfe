/** A point on this process's monotonic clock, in ms. Never sent to another process. */
export type Instant = number;

/** Where a process gets its time from; tests pass their own. */
export interface Clock {
  /** Returns the monotonic time in ms. */
  readonly now: () => Instant;
}

/** The process's own monotonic clock. */
export const monotonicClock: Clock = {now: () => performance.now()};

/** Turns remaining time from the wire into a deadline on this clock. */
export function computeDeadline(now: Instant, remainingMs: number): Instant {
  return now + Math.max(0, remainingMs);
}

/** Computes the time left until a deadline, in ms; 0 when it has passed. */
export function computeRemainingMs(now: Instant, deadline: Instant): number {
  return Math.max(0, deadline - now);
}
