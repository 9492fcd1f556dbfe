import test from 'ava';
import {sleepFor} from '#bench';
import {planJobs} from './jobs.js';
import {Stand, steadyLeases} from './stand.js';

/** How long a leaving target may still be given work, in ms. */
const leaveMs = 3000;

test.serial(
  'an entry asked to stop answers every request in progress and ends with code 0',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases});
    const jobs = planJobs('drain', {jobs: 16, tasks: 3, taskMs: 400});
    const submitted = stand.submitOnce(jobs, 0);
    await stand.waitForJobs(jobs);
    const exit = await stand.site.kill('entry-0', 'SIGTERM');
    t.deepEqual(exit, {kind: 'code', code: 0});
    stand.assertAllComplete(await submitted);
  },
);

test.serial(
  'an agent asked to stop finishes what runs and soon is given nothing new',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases});
    const isLeaving = ({target}: {readonly target: string}) =>
      target === 'tally-0';
    const countLeaving = () => stand.readStarts().filter(isLeaving).length;
    const long = planJobs('long', {jobs: 4, tasks: 3, taskMs: 6000});
    const running = stand.submitOnce(long, 0);
    await stand.waitForStarts(12);
    t.true(countLeaving() > 0);
    const ended = stand.site.kill('tally-0', 'SIGTERM');
    await sleepFor(leaveMs);
    const startsAtLimit = countLeaving();
    const short = planJobs('short', {jobs: 12, tasks: 4, taskMs: 20});
    const later = await Promise.all(
      [0, 1].map(entry =>
        stand.submitOnce(
          short.filter((_, i) => i % 2 === entry),
          entry,
        ),
      ),
    );
    t.deepEqual(await ended, {kind: 'code', code: 0});
    stand.assertAllComplete([...(await running), ...later.flat()]);
    t.is(countLeaving(), startsAtLimit);
  },
);
