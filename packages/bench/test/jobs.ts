import {
  type JobRecord,
  buildEcho,
  type PlannedJob,
  type PlannedTask,
} from '#bench';
import {deriveJobId} from '#model';

/** What each planned job is like. */
export interface JobShape {
  readonly jobs: number;
  readonly tasks: number;
  readonly taskMs: number;
  readonly deadlineMs?: number;
  readonly unrepeatable?: boolean;
  readonly team?: string;
  readonly service?: string;
  /** What each task does beside its time. */
  readonly payload?: Partial<PlannedTask['payload']>;
}

/** Plans equal jobs, of the service `tally` unless named, with keys that begin with a label. */
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

/** Joins the records of the same jobs, each submitted by two callers. */
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
