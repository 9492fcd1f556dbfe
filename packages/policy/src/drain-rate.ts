import type {Instant} from '#model';

/** How fast a queue drains while it is not empty. */
export interface DrainRate {
  /** Tasks started, and the time during which some waited, each decaying. */
  readonly starts: number;
  readonly busyMs: number;
  /** Since when tasks have waited without a break; unset while none waits. */
  readonly waitingSince?: Instant;
  readonly at: Instant;
}

const halfLifeMs = 2000;
/** A shorter wait may be for a better slot and says nothing of the rate. */
const minWaitingMs = 500;
const msPerSecond = 1000;

/** Creates the rate of an empty queue. */
export function createDrainRate(now: Instant): DrainRate {
  return {starts: 0, busyMs: 0, at: now};
}

/** Takes in the tasks started since the last call, and how many wait now. */
export function updateDrainRate(
  rate: DrainRate,
  starts: number,
  waiting: number,
  now: Instant,
): DrainRate {
  const waitingSince = waiting > 0 ? (rate.waitingSince ?? now) : undefined;
  if (rate.waitingSince === undefined) return {...rate, waitingSince, at: now};
  const elapsedMs = Math.max(0, now - rate.at);
  const kept = 2 ** (-elapsedMs / halfLifeMs);
  return {
    starts: rate.starts * kept + starts,
    busyMs: rate.busyMs * kept + elapsedMs,
    waitingSince,
    at: now,
  };
}

/** Computes task starts a second; 0 until tasks have waited for some time without a break. */
export function computeDrainRate(rate: DrainRate): number {
  const {starts, busyMs, waitingSince = Infinity, at} = rate;
  if (at - waitingSince < minWaitingMs) return 0;
  return (starts / busyMs) * msPerSecond;
}
