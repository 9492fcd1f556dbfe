import type {Instant} from '#model';

/** Rate at which tasks start while the queue is not empty. */
export interface DrainRate {
  /** Tasks started, decaying exponentially. */
  readonly starts: number;
  /** Time during which tasks waited, in ms, decaying like `starts`. */
  readonly waitingMs: number;
  /** Start of the uninterrupted period in which tasks have waited; unset while none waits. */
  readonly waitingSince?: Instant;
  readonly at: Instant;
}

const halfLifeMs = 2000;
/** Tasks that have waited for less time may be waiting for a faster slot, which is no evidence of the drain rate. */
const minWaitingMs = 500;
const msPerSecond = 1000;

/** Creates the rate of an empty queue. */
export function createDrainRate(now: Instant): DrainRate {
  return {starts: 0, waitingMs: 0, at: now};
}

/** Records the tasks started since the last call and the number that wait now. */
export function updateDrainRate(
  rate: DrainRate,
  starts: number,
  waiting: number,
  now: Instant,
): DrainRate {
  const waitingSince = waiting > 0 ? (rate.waitingSince ?? now) : undefined;
  if (rate.waitingSince === undefined) return {...rate, waitingSince, at: now};
  const elapsedMs = Math.max(0, now - rate.at);
  const decay = 2 ** (-elapsedMs / halfLifeMs);
  return {
    starts: rate.starts * decay + starts,
    waitingMs: rate.waitingMs * decay + elapsedMs,
    waitingSince,
    at: now,
  };
}

/** Computes task starts per second; 0 until tasks have waited without interruption for `minWaitingMs`. */
export function computeDrainRate(rate: DrainRate): number {
  const {starts, waitingMs, waitingSince = Infinity, at} = rate;
  if (at - waitingSince < minWaitingMs) return 0;
  return (starts / waitingMs) * msPerSecond;
}
