/** A point on this process's monotonic clock, in ms. Never sent to another process. */
export type Instant = number;

/** Time source; tests substitute their own. */
export interface Clock {
  /** Returns the monotonic time in ms. */
  readonly now: () => Instant;
}

export const monotonicClock: Clock = {now: () => performance.now()};

/** Converts remaining time from the wire to a deadline on the local clock. */
export function computeDeadline(now: Instant, remainingMs: number): Instant {
  return now + Math.max(0, remainingMs);
}

/** Computes the time left until a deadline, in ms; 0 once it has passed. */
export function computeRemainingMs(now: Instant, deadline: Instant): number {
  return Math.max(0, deadline - now);
}
