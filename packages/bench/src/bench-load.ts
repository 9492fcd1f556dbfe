import type {LoadOptions} from './load.js';

/** Returns the default load of the experiments with the given overrides. */
export function describeBenchLoad(
  service: string,
  overrides: Partial<LoadOptions>,
): LoadOptions {
  return {
    seed: 1,
    jobs: 200,
    arrivals: {kind: 'poisson', jobsPerSecond: 14},
    services: [service],
    teams: ['herd-registry'],
    minTasks: 1,
    maxTasks: 20,
    minTaskMs: 50,
    maxTaskMs: 1000,
    deadlineMs: 60_000,
    unrepeatableShare: 0,
    failingShare: 0,
    declaredErrorFactor: 1,
    ...overrides,
  };
}
