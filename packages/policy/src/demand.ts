import type {Instant} from '#model';

/** How many tasks a second a team has lately asked for. */
export interface DemandRate {
  /** Tasks asked for, decaying. */
  readonly tasks: number;
  readonly at: Instant;
}

const halfLifeMs = 10_000;
const msPerSecond = 1000;

/** Creates the rate of a team that has asked for nothing. */
export function createDemandRate(now: Instant): DemandRate {
  return {tasks: 0, at: now};
}

/** Takes in a job, whether or not it is admitted. */
export function addDemand(
  rate: DemandRate,
  tasks: number,
  now: Instant,
): DemandRate {
  return {tasks: computeTasks(rate, now) + tasks, at: now};
}

/** Computes the rate in tasks a second: exact once a steady rate has lasted for a few half-lives. */
export function computeDemandRate(rate: DemandRate, now: Instant): number {
  return (computeTasks(rate, now) * Math.LN2 * msPerSecond) / halfLifeMs;
}

function computeTasks({tasks, at}: DemandRate, now: Instant): number {
  return tasks * 2 ** (-Math.max(0, now - at) / halfLifeMs);
}
