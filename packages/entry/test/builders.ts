import type {Submission} from '#model';
import {computeDigest, deriveJobId} from '#model';

/** Builds a job of tasks whose payloads are their indexes. */
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
