import test from 'ava';
import {planJobs} from './jobs.js';
import {Stand, steadyLeases} from './stand.js';

test.serial(
  'jobs of which a third is submitted at both entries at once are answered whole, each task started once',
  async t => {
    const stand = await Stand.open(t, {controls: 3, leases: steadyLeases});
    const jobs = planJobs('once', {jobs: 60, tasks: 6, taskMs: 30});
    const records = await Promise.all(
      jobs.map(async (plan, i) => {
        const entries = i % 3 === 0 ? [0, 1] : [i % 2];
        const attempts = await Promise.all(
          entries.map(entry => stand.tryOnce(plan, entry)),
        );
        return {plan, attempts};
      }),
    );
    stand.assertAllComplete(records);
    t.true(
      records
        .flatMap(({attempts}) => attempts)
        .every(({outcome}) => outcome.kind === 'complete'),
    );
  },
);

test.serial(
  'a job resubmitted after its answer gets the same answer and starts nothing',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases});
    const jobs = planJobs('again', {
      jobs: 10,
      tasks: 3,
      taskMs: 10,
      unrepeatable: true,
    });
    const first = await stand.submitOnce(jobs, 0);
    const again = await stand.submitOnce(jobs, 1);
    stand.assertAllComplete(first);
    t.deepEqual(
      again.map(({attempts}) => attempts[0]!.outcome),
      first.map(({attempts}) => attempts[0]!.outcome),
    );
  },
);
