import type {Instant} from '#model';

/** Recent rate at which a team submits tasks, as an exponentially decaying count. */
export interface DemandRate {
  /** Tasks submitted, decayed to the time `at`. */
  readonly tasks: number;
  readonly at: Instant;
}

const halfLifeMs = 10_000;
const msPerSecond = 1000;

/** Creates the rate of a team that has submitted nothing. */
export function createDemandRate(now: Instant): DemandRate {
  return {tasks: 0, at: now};
}

/** Adds the tasks of a submitted job, whether or not it is admitted. */
export function addDemand(
  rate: DemandRate,
  tasks: number,
  now: Instant,
): DemandRate {
  return {tasks: computeDecayedTasks(rate, now) + tasks, at: now};
}

/** Computes the rate in tasks per second. It approaches a steady rate within a few half-lives. */
export function computeDemandRate(rate: DemandRate, now: Instant): number {
  return (computeDecayedTasks(rate, now) * Math.LN2 * msPerSecond) / halfLifeMs;
}

function computeDecayedTasks({tasks, at}: DemandRate, now: Instant): number {
  return tasks * 2 ** (-Math.max(0, now - at) / halfLifeMs);
}
