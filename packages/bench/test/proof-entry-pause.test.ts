import test from 'ava';
import {noFault} from '#bench';
import {joinRecords, planJobs} from './jobs.js';
import {shortEntryLeases, Stand} from './stand.js';

test.serial(
  'an entry that stands still past its lease starts nothing that its heir has started',
  async t => {
    const stand = await Stand.open(t, {leases: shortEntryLeases});
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
    const stand = await Stand.open(t, {leases: shortEntryLeases});
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

/** More work than is done within a lease: tasks wait at the entry when it ends. */
const backlog = {jobs: 50, tasks: 4, taskMs: 400};

test.serial(
  'an entry that wakes past its lease without control starts nothing that its heir starts',
  async t => {
    const stand = await Stand.open(t, {leases: shortEntryLeases});
    const {proxy} = stand.site.find('control-0');
    const jobs = planJobs('deaf', backlog);
    const atFirst = stand.submitOnce(jobs, 0);
    await stand.waitForStarts(16);
    await stand.site.kill('entry-0', 'SIGSTOP');
    await stand.waitForHeir();
    proxy!.inject({kind: 'freeze'}, 'entry-0');
    const atHeir = stand.submitAll(jobs, 1);
    await stand.site.kill('entry-0', 'SIGCONT');
    const records = await atHeir;
    proxy!.inject(noFault, 'entry-0');
    stand.assertAllComplete(joinRecords(records, await atFirst));
  },
);

test.serial(
  'an entry cut off from control past its lease loses no job that it was given',
  async t => {
    const stand = await Stand.open(t, {leases: shortEntryLeases});
    const {proxy} = stand.site.find('control-0');
    const before = planJobs('before', {jobs: 24, tasks: 4, taskMs: 300});
    const atFirst = stand.submitAll(before, 0);
    await stand.waitForJobs(before.slice(0, 4));
    proxy!.inject({kind: 'freeze'}, 'entry-0');
    const meanwhile = stand.submitOnce(
      planJobs('meanwhile', {jobs: 8, tasks: 4, taskMs: 20}),
      0,
    );
    await stand.waitUntil('the lease of the entry is over', async () => {
      const status = await stand.askControl('control-0');
      return status?.entries.length === 1;
    });
    proxy!.inject(noFault, 'entry-0');
    stand.assertAllComplete([...(await atFirst), ...(await meanwhile)]);
  },
);
