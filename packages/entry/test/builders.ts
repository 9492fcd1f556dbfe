import type {Configuration, Submission, TeamConfig} from '#model';
import {computeDigest, deriveJobId} from '#model';

/** Builds a submission whose task payloads are their indexes. */
export function buildSubmission(
  key: string,
  tasks = 2,
  change: Partial<Submission> = {},
): Submission {
  const specs = Array.from({length: tasks}, (_, i) => ({payload: i}));
  return {
    job: deriveJobId('team', key),
    team: 'team',
    service: 'tally',
    digest: computeDigest('tally', false, specs),
    unrepeatable: false,
    tasks: specs,
    ...change,
  };
}

/** Builds a configuration with one service, `tally`, and the given teams. */
export function buildConfiguration(
  teams: readonly TeamConfig[],
): Configuration {
  return {
    services: [
      {
        name: 'tally',
        objective: {kind: 'response-time'},
        demand: {cores: 1, memoryMb: 1, accelerators: 0},
        maxTaskMs: 1000,
        maxPlacements: 3,
      },
    ],
    teams,
    regions: [],
    queues: [],
    limits: {
      maxTasksPerJob: 1000,
      maxBodyBytes: 1e6,
      maxDeadlineMs: 60_000,
      retentionMs: 1000,
      unrepeatableRetentionMs: 1000,
      maxQueuedTasks: 1e6,
    },
  };
}
