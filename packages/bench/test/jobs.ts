import {type JobRecord, nameEcho, type PlannedJob} from '#bench';
import {deriveJobId} from '#model';

const team = 'herd-registry';

/** What each planned job is like. */
export interface JobShape {
  readonly jobs: number;
  readonly tasks: number;
  readonly taskMs: number;
  readonly deadlineMs?: number;
  readonly unrepeatable?: boolean;
}

/** Plans equal jobs of the service `tally`, with keys that begin with a label. */
export function planJobs(label: string, shape: JobShape): PlannedJob[] {
  return Array.from({length: shape.jobs}, (_, i) => {
    const key = `${label}-${i}`;
    return {
      atMs: 0,
      key,
      job: deriveJobId(team, key),
      team,
      service: 'tally',
      deadlineMs: shape.deadlineMs ?? 40_000,
      unrepeatable: shape.unrepeatable ?? false,
      tasks: Array.from({length: shape.tasks}, (_task, task) => ({
        payload: {sleepMs: shape.taskMs, echo: nameEcho(key, task)},
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
