import test from 'ava';
import {request} from 'undici';
import type {PlannedJob} from '#bench';
import {planJobs} from './jobs.js';
import {Harness} from './harness.js';

interface CancelAnswer {
  readonly status: string;
  readonly reason?: string;
}

async function cancelJob(
  url: string,
  {key, team}: PlannedJob,
): Promise<CancelAnswer> {
  const response = await request(`${url}/v1/jobs/${key}`, {
    method: 'DELETE',
    headers: {'wasabiring-team': team},
  });
  return (await response.body.json()) as CancelAnswer;
}

test.serial(
  'no task of a job starts after its cancellation is answered, with 200 concurrent cancellations',
  async t => {
    const harness = await Harness.open(t);
    const jobs = planJobs('wave', {jobs: 200, tasks: 2, taskMs: 300});
    const submitted = harness.submitOnce(jobs, 0);
    await harness.waitForStarts(16);
    const countStarts = ({job}: PlannedJob) =>
      harness.readStarts().filter(line => line.job === job).length;
    const cancelled = await Promise.all(
      jobs.map(async plan => {
        const {reason} = await cancelJob(harness.site.entryUrls[0]!, plan);
        await harness.waitForDelivery();
        return {
          plan,
          isCancelled: reason === 'cancelled',
          starts: countStarts(plan),
        };
      }),
    );
    const records = await submitted;
    const probe = planJobs('probe', {jobs: 8, tasks: 4, taskMs: 20});
    harness.assertAllComplete(await harness.submitOnce(probe, 0));
    harness.assertNoViolations(records);
    harness.assertAnswered(records);
    t.true(cancelled.filter(({isCancelled}) => isCancelled).length > 100);
    const late = cancelled.filter(
      ({plan, isCancelled, starts}) =>
        isCancelled && countStarts(plan) > starts,
    );
    t.deepEqual(
      late.map(({plan}) => plan.key),
      [],
    );
  },
);
