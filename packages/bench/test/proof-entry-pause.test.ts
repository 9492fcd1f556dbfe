import test from 'ava';
import {noFault} from '#bench';
import {joinRecords, planJobs} from './jobs.js';
import {shortEntryLeases, Harness} from './harness.js';

test.serial(
  'an entry paused past its lease starts no task that its successor has started',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('paused', {jobs: 24, tasks: 4, taskMs: 300});
    const atOwner = harness.submitOnce(jobs, 0);
    await harness.waitForJobs(jobs.slice(0, 4));
    await harness.site.kill('entry-0', 'SIGSTOP');
    const atSuccessor = await harness.submitAll(jobs, 1);
    await harness.site.kill('entry-0', 'SIGCONT');
    const records = await atOwner;
    harness.assertAllComplete(joinRecords(atSuccessor, records));
    harness.assertAnswered(records);
  },
);

test.serial(
  'an entry resumed while its successor runs its jobs causes no second start',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('woken', {jobs: 24, tasks: 4, taskMs: 300});
    const atOwner = harness.submitAll(jobs, 0);
    await harness.waitForJobs(jobs.slice(0, 4));
    await harness.site.kill('entry-0', 'SIGSTOP');
    const atSuccessor = harness.submitAll(jobs, 1);
    const before = harness.readStarts().length;
    await harness.waitForStarts(before + 24);
    await harness.site.kill('entry-0', 'SIGCONT');
    harness.assertAllComplete(joinRecords(await atSuccessor, await atOwner));
  },
);

/** More work than completes within a lease, so that tasks still wait at the entry when it expires. */
const backlogShape = {jobs: 50, tasks: 4, taskMs: 400};

test.serial(
  'an entry resumed past its lease without a link to control starts no task that its successor starts',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const {proxy} = harness.site.find('control-0');
    const jobs = planJobs('deaf', backlogShape);
    const atOwner = harness.submitOnce(jobs, 0);
    await harness.waitForStarts(16);
    await harness.site.kill('entry-0', 'SIGSTOP');
    await harness.waitForEpochEnd();
    proxy!.inject({kind: 'freeze'}, 'entry-0');
    const atSuccessor = harness.submitAll(jobs, 1);
    await harness.site.kill('entry-0', 'SIGCONT');
    const records = await atSuccessor;
    proxy!.inject(noFault, 'entry-0');
    harness.assertAllComplete(joinRecords(records, await atOwner));
  },
);

test.serial(
  'an entry partitioned from control past its lease loses no job submitted to it',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const {proxy} = harness.site.find('control-0');
    const before = planJobs('before', {jobs: 24, tasks: 4, taskMs: 300});
    const atOwner = harness.submitAll(before, 0);
    await harness.waitForJobs(before.slice(0, 4));
    proxy!.inject({kind: 'freeze'}, 'entry-0');
    const meanwhile = harness.submitOnce(
      planJobs('meanwhile', {jobs: 8, tasks: 4, taskMs: 20}),
      0,
    );
    await harness.waitUntil('the lease of the entry has expired', async () => {
      const status = await harness.askControl('control-0');
      return status?.entries.length === 1;
    });
    proxy!.inject(noFault, 'entry-0');
    harness.assertAllComplete([...(await atOwner), ...(await meanwhile)]);
  },
);
