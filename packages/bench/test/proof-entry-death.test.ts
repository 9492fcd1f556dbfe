import test from 'ava';
import type {PlannedJob} from '#bench';
import {planJobs} from './jobs.js';
import {shortEntryLeases, Stand} from './stand.js';

test.serial(
  'tasks that run while their entry dies are answered whole by the other entry',
  async t => {
    const stand = await Stand.open(t, {leases: shortEntryLeases});
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
    const stand = await Stand.open(t, {leases: shortEntryLeases});
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
    const stand = await Stand.open(t, {leases: shortEntryLeases});
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

/** Cancels jobs at the other entry in one wave, amid which their owner dies; returns those answered as cancelled. */
async function killOwnerAmidCancellations(
  stand: Stand,
  jobs: readonly PlannedJob[],
) {
  const submitted = stand.submitOnce(jobs, 0);
  await stand.waitForStarts(16);
  const cancelled: PlannedJob[] = [];
  /** How many tasks had started when the job's cancellation was answered. */
  const startsBefore = new Map<string, number>();
  const cancels = jobs.map(async plan => {
    if (!(await stand.cancel(plan, 1))) return;
    startsBefore.set(plan.job, stand.readStarts().length);
    cancelled.push(plan);
  });
  await stand.waitUntil('some are cancelled', () => cancelled.length > 9);
  await stand.site.kill('entry-0', 'SIGKILL');
  await Promise.all(cancels);
  await stand.waitForHeir();
  const records = await submitted;
  /** Counts the tasks that have started after the cancellation of their job was answered. */
  const countLate = () =>
    stand
      .readStarts()
      .filter(({job}, i) => i >= (startsBefore.get(job) ?? Infinity)).length;
  return {records, cancelled, countLate};
}

const wave = {jobs: 100, tasks: 2, taskMs: 400};

test.serial(
  'no task starts after its cancellation is answered although the owner dies meanwhile',
  async t => {
    const stand = await Stand.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('orphan', wave);
    const {records, countLate} = await killOwnerAmidCancellations(stand, jobs);
    const probe = planJobs('probe', {jobs: 8, tasks: 4, taskMs: 20});
    stand.assertAllComplete(await stand.submitAll(probe, 1));
    stand.assertSound(records);
    t.is(countLate(), 0);
  },
);

test.serial(
  'a cancelled job stays cancelled when it is submitted again after the death of its owner',
  async t => {
    const stand = await Stand.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('again', wave);
    const {cancelled, countLate} = await killOwnerAmidCancellations(
      stand,
      jobs,
    );
    stand.assertSound(await stand.submitAll(cancelled, 1));
    t.is(countLate(), 0);
  },
);
