import test from 'ava';
import {planJobs} from './jobs.js';
import {shortTargetLeases, Stand} from './stand.js';

const shape = {jobs: 24, tasks: 4, taskMs: 300};
const startsBeforeDeath = 12;

test.serial(
  'the jobs of an agent that dies are complete or failed, and nothing starts twice',
  async t => {
    const stand = await Stand.open(t, {leases: shortTargetLeases});
    const jobs = planJobs('death', shape);
    const submitted = stand.submitOnce(jobs, 0);
    await stand.waitForStarts(startsBeforeDeath);
    await stand.site.kill('tally-0', 'SIGKILL');
    const records = await submitted;
    const counts = stand.assertSound(records);
    stand.assertAnswered(records);
    t.true(counts.complete > 0);
    t.true(counts.complete < records.length);
  },
);

test.serial(
  'an agent that dies and starts again under its name repeats nothing',
  async t => {
    const stand = await Stand.open(t, {leases: shortTargetLeases});
    const jobs = planJobs('restart', {...shape, unrepeatable: true});
    const submitted = stand.submitOnce(jobs, 0);
    await stand.waitForStarts(startsBeforeDeath);
    await stand.site.kill('tally-0', 'SIGKILL');
    await stand.site.restart('tally-0');
    const records = await submitted;
    const resubmitted = await stand.submitOnce(jobs, 1);
    const counts = stand.assertSound(
      records.map(({plan, attempts}, i) => ({
        plan,
        attempts: [...attempts, ...resubmitted[i]!.attempts],
      })),
    );
    stand.assertAnswered(records);
    t.true(counts.complete > 0);
    await stand.site.waitUntilReady();
    stand.assertAllComplete(
      await stand.submitAll(
        planJobs('after', {jobs: 8, tasks: 4, taskMs: 20}),
        0,
      ),
    );
  },
);
