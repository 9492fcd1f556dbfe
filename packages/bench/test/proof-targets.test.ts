import test from 'ava';
import {planJobs} from './jobs.js';
import {Stand} from './stand.js';

test.serial(
  'a target that fails all is given up, and its jobs are marked failed',
  async t => {
    const stand = await Stand.open(t);
    await stand.site.changeTemper('tally-0', {failsAll: true});
    const jobs = planJobs('failing', {jobs: 20, tasks: 3, taskMs: 50});
    const records = await stand.submitOnce(jobs, 0);
    const counts = stand.assertSound(records);
    stand.assertAnswered(records);
    t.is(counts.complete + counts.failed, records.length);
    await stand.waitUntil('jobs avoid the failing target', async () => {
      const label = `later-${stand.readStarts().length}`;
      const later = await stand.submitOnce(
        planJobs(label, {jobs: 8, tasks: 2, taskMs: 20}),
        0,
      );
      return stand.assertSound(later).complete === later.length;
    });
  },
);
