import test from 'ava';
import {sleepFor} from '#bench';
import {planJobs} from './jobs.js';
import {Harness, longLeases} from './harness.js';

/** How long a stopping agent may still receive new tasks, in ms. */
const drainNoticeMs = 3000;

test.serial(
  'an entry that receives SIGTERM answers every request in progress and exits with code 0',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases});
    const jobs = planJobs('drain', {jobs: 16, tasks: 3, taskMs: 400});
    const submitted = harness.submitOnce(jobs, 0);
    await harness.waitForJobs(jobs);
    const exit = await harness.site.kill('entry-0', 'SIGTERM');
    t.deepEqual(exit, {kind: 'code', code: 0});
    harness.assertAllComplete(await submitted);
  },
);

test.serial(
  'an agent that receives SIGTERM finishes its running tasks and soon receives no new ones',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases});
    const isOnStoppingAgent = ({target}: {readonly target: string}) =>
      target === 'tally-0';
    const countStartsOnStopping = () =>
      harness.readStarts().filter(isOnStoppingAgent).length;
    const long = planJobs('long', {jobs: 4, tasks: 3, taskMs: 6000});
    const running = harness.submitOnce(long, 0);
    await harness.waitForStarts(12);
    t.true(countStartsOnStopping() > 0);
    const exited = harness.site.kill('tally-0', 'SIGTERM');
    await sleepFor(drainNoticeMs);
    const startsAtLimit = countStartsOnStopping();
    const short = planJobs('short', {jobs: 12, tasks: 4, taskMs: 20});
    const later = await Promise.all(
      [0, 1].map(entry =>
        harness.submitOnce(
          short.filter((_, i) => i % 2 === entry),
          entry,
        ),
      ),
    );
    t.deepEqual(await exited, {kind: 'code', code: 0});
    harness.assertAllComplete([...(await running), ...later.flat()]);
    t.is(countStartsOnStopping(), startsAtLimit);
  },
);
