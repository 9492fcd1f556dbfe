import test from 'ava';
import type {PlannedJob} from '#bench';
import {planJobs} from './jobs.js';
import {shortEntryLeases, Harness} from './harness.js';

test.serial(
  'jobs whose tasks run when their entry is killed are completed by the other entry',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('running', {jobs: 4, tasks: 4, taskMs: 1500});
    const submitted = harness.submitAll(jobs, 0);
    await harness.waitForStarts(16);
    await harness.site.kill('entry-0', 'SIGKILL');
    harness.assertAllComplete(await submitted);
  },
);

test.serial(
  'tasks that wait when their entry is killed start once, through the other entry',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('waiting', {jobs: 24, tasks: 4, taskMs: 400});
    const submitted = harness.submitAll(jobs, 0);
    await harness.waitForJobs(jobs.slice(0, 4));
    await harness.site.kill('entry-0', 'SIGKILL');
    harness.assertAllComplete(await submitted);
  },
);

test.serial(
  'jobs of an entry that is killed and restarted complete once, with no unknown outcome',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('reborn', {jobs: 16, tasks: 4, taskMs: 300});
    const submitted = harness.submitAll(jobs, 0);
    await harness.waitForStarts(16);
    await harness.site.kill('entry-0', 'SIGKILL');
    await harness.site.restart('entry-0');
    const records = await submitted;
    harness.assertAllComplete(records);
    const unknown = records
      .flatMap(({attempts}) => attempts)
      .filter(({outcome}) => outcome.kind === 'unknown');
    t.deepEqual(unknown, []);
  },
);

/**
 * Cancels jobs concurrently through the other entry and kills their owner meanwhile. Returns the
 * records of their submission, the jobs answered as cancelled and a counter of late starts.
 */
async function killOwnerDuringCancellations(
  harness: Harness,
  jobs: readonly PlannedJob[],
) {
  const submitted = harness.submitOnce(jobs, 0);
  await harness.waitForStarts(16);
  const cancelled: PlannedJob[] = [];
  /** The number of task starts recorded when the cancellation of a job was answered, by job id. */
  const startsAtCancellation = new Map<string, number>();
  const cancellations = jobs.map(async plan => {
    if (!(await harness.cancel(plan, 1))) return;
    startsAtCancellation.set(plan.job, harness.readStarts().length);
    cancelled.push(plan);
  });
  await harness.waitUntil(
    'at least 10 jobs are cancelled',
    () => cancelled.length > 9,
  );
  await harness.site.kill('entry-0', 'SIGKILL');
  await Promise.all(cancellations);
  await harness.waitForEpochEnd();
  const records = await submitted;
  /** Counts the task starts recorded after the cancellation of their job was answered. */
  const countLateStarts = () =>
    harness
      .readStarts()
      .filter(({job}, i) => i >= (startsAtCancellation.get(job) ?? Infinity))
      .length;
  return {records, cancelled, countLateStarts};
}

const batchShape = {jobs: 100, tasks: 2, taskMs: 400};

test.serial(
  'no task starts after its cancellation is answered, even if the owner is killed meanwhile',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('orphan', batchShape);
    const {records, countLateStarts} = await killOwnerDuringCancellations(
      harness,
      jobs,
    );
    const probe = planJobs('probe', {jobs: 8, tasks: 4, taskMs: 20});
    harness.assertAllComplete(await harness.submitAll(probe, 1));
    harness.assertNoViolations(records);
    t.is(countLateStarts(), 0);
  },
);

test.serial(
  'a cancelled job stays cancelled when it is resubmitted after its owner is killed',
  async t => {
    const harness = await Harness.open(t, {leases: shortEntryLeases});
    const jobs = planJobs('again', batchShape);
    const {cancelled, countLateStarts} = await killOwnerDuringCancellations(
      harness,
      jobs,
    );
    harness.assertNoViolations(await harness.submitAll(cancelled, 1));
    t.is(countLateStarts(), 0);
  },
);
