import {
  type JobRecord,
  buildEcho,
  type PlannedJob,
  type PlannedTask,
} from '#bench';
import {deriveJobId} from '#model';

/** The number of jobs in a batch and the properties that they share. */
export interface JobShape {
  readonly jobs: number;
  readonly tasks: number;
  readonly taskMs: number;
  readonly deadlineMs?: number;
  readonly unrepeatable?: boolean;
  readonly team?: string;
  readonly service?: string;
  /** Further payload fields of every task. */
  readonly payload?: Partial<PlannedTask['payload']>;
}

/** Plans equal jobs with keys that begin with `label`; the service is `tally` by default. */
export function planJobs(label: string, shape: JobShape): PlannedJob[] {
  const {team = 'herd-registry', service = 'tally'} = shape;
  return Array.from({length: shape.jobs}, (_, i) => {
    const key = `${label}-${i}`;
    return {
      atMs: 0,
      key,
      job: deriveJobId(team, key),
      team,
      service,
      deadlineMs: shape.deadlineMs ?? 40_000,
      unrepeatable: shape.unrepeatable ?? false,
      tasks: Array.from({length: shape.tasks}, (_task, task) => ({
        payload: {
          ...shape.payload,
          sleepMs: shape.taskMs,
          echo: buildEcho(key, task),
        },
        expectedMs: shape.taskMs,
      })),
    };
  });
}

/** Joins two callers' records of the same jobs, with the attempts ordered by their end. */
export function joinRecords(
  first: readonly JobRecord[],
  second: readonly JobRecord[],
): readonly JobRecord[] {
  return first.map(({plan, attempts}, i) => ({
    plan,
    attempts: [...attempts, ...second[i]!.attempts].sort(
      (a, b) => a.endedAt - b.endedAt,
    ),
  }));
}
