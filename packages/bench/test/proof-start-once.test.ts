import test from 'ava';
import {planJobs} from './jobs.js';
import {Harness, longLeases} from './harness.js';

test.serial(
  'jobs of which a third is submitted to both entries at once complete, each task started once',
  async t => {
    const harness = await Harness.open(t, {controls: 3, leases: longLeases});
    const jobs = planJobs('once', {jobs: 60, tasks: 6, taskMs: 30});
    const records = await Promise.all(
      jobs.map(async (plan, i) => {
        const entries = i % 3 === 0 ? [0, 1] : [i % 2];
        const attempts = await Promise.all(
          entries.map(entry => harness.tryOnce(plan, entry)),
        );
        return {plan, attempts};
      }),
    );
    harness.assertAllComplete(records);
    t.true(
      records
        .flatMap(({attempts}) => attempts)
        .every(({outcome}) => outcome.kind === 'complete'),
    );
  },
);

test.serial(
  'a job resubmitted after its answer gets the same answer and starts no task',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases});
    const jobs = planJobs('again', {
      jobs: 10,
      tasks: 3,
      taskMs: 10,
      unrepeatable: true,
    });
    const first = await harness.submitOnce(jobs, 0);
    const again = await harness.submitOnce(jobs, 1);
    harness.assertAllComplete(first);
    t.deepEqual(
      again.map(({attempts}) => attempts[0]!.outcome),
      first.map(({attempts}) => attempts[0]!.outcome),
    );
  },
);
