import test from 'ava';
import {planJobs} from './jobs.js';
import {shortTargetLeases, Harness} from './harness.js';

const shape = {jobs: 20, tasks: 4, taskMs: 300};

test.serial(
  'an agent paused past its lease starts no task twice and serves again',
  async t => {
    const harness = await Harness.open(t, {leases: shortTargetLeases});
    const submitted = harness.submitOnce(planJobs('frozen', shape), 0);
    await harness.waitForStarts(12);
    await harness.site.kill('tally-0', 'SIGSTOP');
    await harness.waitForTargets(1);
    const meanwhile = await harness.submitOnce(
      planJobs('meanwhile', {...shape, taskMs: 20}),
      1,
    );
    await harness.site.kill('tally-0', 'SIGCONT');
    await harness.site.waitUntilReady();
    const records = await submitted;
    const counts = harness.assertNoViolations([...records, ...meanwhile]);
    harness.assertAnswered([...records, ...meanwhile]);
    t.true(counts.complete > 0);
    harness.assertAllComplete(
      await harness.submitAll(planJobs('after', {...shape, taskMs: 20}), 0),
    );
  },
);
