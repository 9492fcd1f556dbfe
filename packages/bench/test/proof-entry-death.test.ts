import test from 'ava';
import {planJobs} from './jobs.js';
import {Stand} from './stand.js';

test.serial(
  'tasks that run while their entry dies are answered whole by the other entry',
  async t => {
    const stand = await Stand.open(t);
    const jobs = planJobs('running', {jobs: 4, tasks: 4, taskMs: 1500});
    const submitted = stand.submitAll(jobs, 0);
    await stand.waitForStarts(16);
    await stand.site.kill('entry-0', 'SIGKILL');
    stand.assertAllComplete(await submitted);
  },
);

test.serial(
  'tasks that wait while their entry dies start once, from the other entry',
  async t => {
    const stand = await Stand.open(t);
    const jobs = planJobs('waiting', {jobs: 24, tasks: 4, taskMs: 400});
    const submitted = stand.submitAll(jobs, 0);
    await stand.waitForJobs(jobs.slice(0, 4));
    await stand.site.kill('entry-0', 'SIGKILL');
    stand.assertAllComplete(await submitted);
  },
);

test.serial(
  'a dead entry that starts again serves, and what it had accepted is answered once',
  async t => {
    const stand = await Stand.open(t);
    const jobs = planJobs('reborn', {jobs: 16, tasks: 4, taskMs: 300});
    const submitted = stand.submitAll(jobs, 0);
    await stand.waitForStarts(16);
    await stand.site.kill('entry-0', 'SIGKILL');
    await stand.site.restart('entry-0');
    const records = await submitted;
    stand.assertAllComplete(records);
    const unknown = records
      .flatMap(({attempts}) => attempts)
      .filter(({outcome}) => outcome.kind === 'unknown');
    t.deepEqual(unknown, []);
  },
);
