import test from 'ava';
import {describeExecutor, describeWorker, type JobRecord} from '#bench';
import {planJobs} from './jobs.js';
import {Harness, longLeases} from './harness.js';

const leases = longLeases;
/** Rounds of jobs within which a failing target must be ejected. */
const maxRounds = 30;

/** Submits rounds of jobs until every job of one is complete; false when none is within `maxRounds`. */
async function waitForHealthyRound(harness: Harness): Promise<boolean> {
  for (let round = 0; round < maxRounds; round++) {
    const jobs = planJobs(`round-${round}`, {jobs: 12, tasks: 3, taskMs: 20});
    const counts = harness.assertNoViolations(
      await harness.submitOnce(jobs, 0),
    );
    if (counts.complete === jobs.length) return true;
  }
  return false;
}

for (const [kind, target] of [
  ['an executor', describeExecutor('tally')],
  ['a worker', describeWorker('tally')],
] as const) {
  test.serial(
    `${kind} that fails every task is ejected, and its jobs are marked failed`,
    async t => {
      const harness = await Harness.open(t, {
        leases,
        targets: [target, target],
      });
      await harness.site.changeBehaviour('tally-0', {failsAll: true});
      const jobs = planJobs('failing', {jobs: 20, tasks: 3, taskMs: 50});
      const records = await harness.submitOnce(jobs, 0);
      const counts = harness.assertNoViolations(records);
      harness.assertAnswered(records);
      t.is(counts.complete + counts.failed, records.length);
      t.true(await waitForHealthyRound(harness));
    },
  );
}

test.serial(
  'jobs that leave slots free complete beside a target 20 times slower, which gets few of their tasks',
  async t => {
    const slow = describeExecutor('tally', 20);
    const normal = describeExecutor('tally');
    const harness = await Harness.open(t, {
      leases,
      targets: [slow, normal, normal],
    });
    const records: JobRecord[] = [];
    for (const job of planJobs('beside', {jobs: 50, tasks: 4, taskMs: 100})) {
      records.push(...(await harness.submitOnce([job], 0)));
    }
    harness.assertAllComplete(records);
    const starts = harness.readStarts();
    const slowStarts = starts.filter(({target}) => target === 'tally-0');
    t.true(slowStarts.length < starts.length / 20, `${slowStarts.length}`);
  },
);
