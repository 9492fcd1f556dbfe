import test from 'ava';
import {defaultConfiguration, type JobRecord} from '#bench';
import {planJobs} from './jobs.js';
import {Stand, steadyLeases} from './stand.js';

const taskMs = 500;
/** Tasks that may wait at an entry. */
const maxQueued = 160;
const waves = 3;
/** Of the two executors. */
const slots = 16;

const quota = {tasks_per_second: 100_000, burst_tasks: 100_000};
const configuration = {
  ...defaultConfiguration,
  teams: {
    pens: {...quota, weight: 1},
    crossings: {...quota, weight: 1},
    calvings: {...quota, weight: 1},
    levies: {tasks_per_second: 1, burst_tasks: 40, weight: 1},
  },
  limits: {...defaultConfiguration.limits, max_queued_tasks: maxQueued},
};

const countKind = (records: readonly JobRecord[], kind: string) =>
  records.filter(({attempts}) => attempts[0]!.outcome.kind === kind).length;

test.serial(
  'under three times the load that the queue takes, answers stay true and a team within its part is served',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases, configuration});
    const loud = ['pens', 'crossings'].flatMap(team =>
      planJobs(team, {jobs: (waves * maxQueued) / 8, tasks: 4, taskMs, team}),
    );
    const first = loud.filter((_, i) => i % 2 === 0);
    const filling = stand.submitOnce(first, 0);
    await stand.waitForJobs(first.slice(0, 4));
    const flood = stand.submitOnce(
      loud.filter((_, i) => i % 2 === 1),
      0,
    );
    const modest = planJobs('modest', {
      jobs: 8,
      tasks: 4,
      taskMs,
      team: 'calvings',
    });
    const served = await stand.submitOnce(modest, 0);
    const records = [...(await filling), ...(await flood)];
    stand.assertAllComplete(served);
    const counts = stand.assertSound([...records, ...served]);
    stand.assertAnswered(records);
    t.is(counts.complete + counts.refused, records.length + served.length);
    t.true(counts.refused > 0);
    t.true(4 * countKind(records, 'complete') >= maxQueued);
  },
);

test.serial(
  'a burst of three times the queue that arrives before anything waits is refused beyond twice the limit',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases, configuration});
    const burst = ['pens', 'crossings'].flatMap(team =>
      planJobs(team, {
        jobs: (waves * maxQueued) / 8,
        tasks: 4,
        taskMs: 5000,
        team,
        deadlineMs: 120_000,
      }),
    );
    const records = stand.submitOnce(burst, 0);
    await stand.waitUntil('what is not queued is refused', async () => {
      const {jobsInHand, refusals} = await stand.readEntry(0);
      const refused = refusals['overloaded'] ?? 0;
      return jobsInHand + refused === burst.length && refused > 0;
    });
    const {jobsInHand} = await stand.readEntry(0);
    t.true(4 * jobsInHand - slots < 2 * maxQueued, String(jobsInHand));
    for (const plan of burst) await stand.cancel(plan, 0);
    stand.assertSound(await records);
  },
);

test.serial(
  'a team beyond its quota is refused as not run, and its part within is served whole',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases, configuration});
    const over = planJobs('over', {
      jobs: 40,
      tasks: 4,
      taskMs: 20,
      team: 'levies',
    });
    const within = planJobs('within', {
      jobs: 20,
      tasks: 4,
      taskMs,
      team: 'pens',
    });
    const [refused, served] = await Promise.all([
      stand.submitOnce(over, 0),
      stand.submitOnce(within, 1),
    ]);
    stand.assertAllComplete(served);
    const counts = stand.assertSound(refused);
    t.is(counts.complete + counts.refused, over.length);
    t.true(counts.complete > 0);
    t.true(counts.refused > 0);
  },
);
