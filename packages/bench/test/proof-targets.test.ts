import test from 'ava';
import {describeExecutor, describeWorker, type JobRecord} from '#bench';
import {planJobs} from './jobs.js';
import {Stand, steadyLeases} from './stand.js';

const leases = steadyLeases;
/** Rounds of jobs until a failing target must have been given up. */
const maxRounds = 30;

/** Submits jobs round by round; true once every job of a round is complete. */
async function findHealthyRound(stand: Stand): Promise<boolean> {
  for (let round = 0; round < maxRounds; round++) {
    const jobs = planJobs(`round-${round}`, {jobs: 12, tasks: 3, taskMs: 20});
    const counts = stand.assertSound(await stand.submitOnce(jobs, 0));
    if (counts.complete === jobs.length) return true;
  }
  return false;
}

for (const [kind, target] of [
  ['an executor', describeExecutor('tally')],
  ['a worker', describeWorker('tally')],
] as const) {
  test.serial(
    `${kind} that fails all is given up, and its jobs are marked failed`,
    async t => {
      const stand = await Stand.open(t, {leases, targets: [target, target]});
      await stand.site.changeBehaviour('tally-0', {failsAll: true});
      const jobs = planJobs('failing', {jobs: 20, tasks: 3, taskMs: 50});
      const records = await stand.submitOnce(jobs, 0);
      const counts = stand.assertSound(records);
      stand.assertAnswered(records);
      t.is(counts.complete + counts.failed, records.length);
      t.true(await findHealthyRound(stand));
    },
  );
}

test.serial(
  'jobs that leave slots free are complete beside a target 20 times slower, which gets few of their tasks',
  async t => {
    const slow = describeExecutor('tally', 20);
    const even = describeExecutor('tally');
    const stand = await Stand.open(t, {leases, targets: [slow, even, even]});
    const records: JobRecord[] = [];
    for (const job of planJobs('beside', {jobs: 50, tasks: 4, taskMs: 100})) {
      records.push(...(await stand.submitOnce([job], 0)));
    }
    stand.assertAllComplete(records);
    const starts = stand.readStarts();
    const late = starts.filter(({target}) => target === 'tally-0');
    t.true(late.length < starts.length / 20, `${late.length}`);
  },
);
