import test from 'ava';
import {planJobs} from './jobs.js';
import {shortTargetLeases, Stand} from './stand.js';

const shape = {jobs: 20, tasks: 4, taskMs: 300};

test.serial(
  'an agent that stands still past its lease starts nothing twice, and serves again',
  async t => {
    const stand = await Stand.open(t, {leases: shortTargetLeases});
    const submitted = stand.submitOnce(planJobs('frozen', shape), 0);
    await stand.waitForStarts(12);
    await stand.site.kill('tally-0', 'SIGSTOP');
    await stand.waitForTargets(1);
    const meanwhile = await stand.submitOnce(
      planJobs('meanwhile', {...shape, taskMs: 20}),
      1,
    );
    await stand.site.kill('tally-0', 'SIGCONT');
    await stand.site.waitUntilReady();
    const records = await submitted;
    const counts = stand.assertSound([...records, ...meanwhile]);
    stand.assertAnswered([...records, ...meanwhile]);
    t.true(counts.complete > 0);
    stand.assertAllComplete(
      await stand.submitAll(planJobs('after', {...shape, taskMs: 20}), 0),
    );
  },
);
