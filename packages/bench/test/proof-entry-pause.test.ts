import test from 'ava';
import {joinRecords, planJobs} from './jobs.js';
import {Stand} from './stand.js';

test.serial(
  'an entry that stands still past its lease starts nothing that its heir has started',
  async t => {
    const stand = await Stand.open(t);
    const jobs = planJobs('paused', {jobs: 24, tasks: 4, taskMs: 300});
    const atFirst = stand.submitOnce(jobs, 0);
    await stand.waitForJobs(jobs.slice(0, 4));
    await stand.site.kill('entry-0', 'SIGSTOP');
    const atHeir = await stand.submitAll(jobs, 1);
    await stand.site.kill('entry-0', 'SIGCONT');
    const records = await atFirst;
    stand.assertAllComplete(joinRecords(atHeir, records));
    stand.assertAnswered(records);
  },
);

test.serial(
  'an entry that wakes while its heir works hands its callers no second start',
  async t => {
    const stand = await Stand.open(t);
    const jobs = planJobs('woken', {jobs: 24, tasks: 4, taskMs: 300});
    const atFirst = stand.submitAll(jobs, 0);
    await stand.waitForJobs(jobs.slice(0, 4));
    await stand.site.kill('entry-0', 'SIGSTOP');
    const atHeir = stand.submitAll(jobs, 1);
    const before = stand.readStarts().length;
    await stand.waitForStarts(before + 24);
    await stand.site.kill('entry-0', 'SIGCONT');
    stand.assertAllComplete(joinRecords(await atHeir, await atFirst));
  },
);
