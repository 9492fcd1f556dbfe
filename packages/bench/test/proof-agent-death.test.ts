import test from 'ava';
import {planJobs} from './jobs.js';
import {shortTargetLeases, Harness} from './harness.js';

const shape = {jobs: 24, tasks: 4, taskMs: 300};
const startsBeforeKill = 12;

test.serial(
  'jobs of an agent that is killed complete or fail, and no task starts twice',
  async t => {
    const harness = await Harness.open(t, {leases: shortTargetLeases});
    const jobs = planJobs('death', shape);
    const submitted = harness.submitOnce(jobs, 0);
    await harness.waitForStarts(startsBeforeKill);
    await harness.site.kill('tally-0', 'SIGKILL');
    const records = await submitted;
    const counts = harness.assertNoViolations(records);
    harness.assertAnswered(records);
    t.true(counts.complete > 0);
    t.true(counts.complete < records.length);
  },
);

test.serial(
  'an agent that is killed and restarted under the same name repeats no task',
  async t => {
    const harness = await Harness.open(t, {leases: shortTargetLeases});
    const jobs = planJobs('restart', {...shape, unrepeatable: true});
    const submitted = harness.submitOnce(jobs, 0);
    await harness.waitForStarts(startsBeforeKill);
    await harness.site.kill('tally-0', 'SIGKILL');
    await harness.site.restart('tally-0');
    const records = await submitted;
    const resubmitted = await harness.submitOnce(jobs, 1);
    const counts = harness.assertNoViolations(
      records.map(({plan, attempts}, i) => ({
        plan,
        attempts: [...attempts, ...resubmitted[i]!.attempts],
      })),
    );
    harness.assertAnswered(records);
    t.true(counts.complete > 0);
    await harness.site.waitUntilReady();
    harness.assertAllComplete(
      await harness.submitAll(
        planJobs('after', {jobs: 8, tasks: 4, taskMs: 20}),
        0,
      ),
    );
  },
);
