import type {Instant} from '#model';

/** How fast a queue drains while it is not empty. */
export interface DrainRate {
  /** Tasks started, and the time during which some waited, each decaying. */
  readonly starts: number;
  readonly busyMs: number;
  readonly waiting: boolean;
  readonly at: Instant;
}

const halfLifeMs = 2000;
const minBusyMs = 20;
const msPerSecond = 1000;

/** Creates the rate of an empty queue. */
export function createDrainRate(now: Instant): DrainRate {
  return {starts: 0, busyMs: 0, waiting: false, at: now};
}

/** Takes in the tasks started since the last call, and how many wait now. */
export function updateDrainRate(
  rate: DrainRate,
  starts: number,
  waiting: number,
  now: Instant,
): DrainRate {
  const elapsedMs = Math.max(0, now - rate.at);
  const next = {waiting: waiting > 0, at: now};
  if (!rate.waiting) return {...rate, ...next};
  const kept = 2 ** (-elapsedMs / halfLifeMs);
  return {
    starts: rate.starts * kept + starts,
    busyMs: rate.busyMs * kept + elapsedMs,
    ...next,
  };
}

/** Computes task starts a second; 0 until the queue was busy for some time. */
export function computeDrainRate({starts, busyMs}: DrainRate): number {
  return busyMs < minBusyMs ? 0 : (starts / busyMs) * msPerSecond;
}
