import test from 'ava';
import {defaultConfiguration, type JobRecord} from '#bench';
import {planJobs} from './jobs.js';
import {Harness, longLeases} from './harness.js';

const taskMs = 500;
/** The limit of tasks that wait at an entry. */
const maxQueuedTasks = 160;
const overloadFactor = 3;
/** Of both executors together. */
const executorSlots = 16;

const quota = {tasks_per_second: 100_000, burst_tasks: 100_000};
const configuration = {
  ...defaultConfiguration,
  teams: {
    pens: {...quota, weight: 1},
    crossings: {...quota, weight: 1},
    calvings: {...quota, weight: 1},
    levies: {tasks_per_second: 1, burst_tasks: 40, weight: 1},
  },
  limits: {...defaultConfiguration.limits, max_queued_tasks: maxQueuedTasks},
};

const countKind = (records: readonly JobRecord[], kind: string) =>
  records.filter(({attempts}) => attempts[0]!.outcome.kind === kind).length;

test.serial(
  'with three times the work that fits the queue, answers stay correct and a team within its share is served',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases, configuration});
    const overload = ['pens', 'crossings'].flatMap(team =>
      planJobs(team, {
        jobs: (overloadFactor * maxQueuedTasks) / 8,
        tasks: 4,
        taskMs,
        team,
      }),
    );
    const first = overload.filter((_, i) => i % 2 === 0);
    const filling = harness.submitOnce(first, 0);
    await harness.waitForJobs(first.slice(0, 4));
    const excess = harness.submitOnce(
      overload.filter((_, i) => i % 2 === 1),
      0,
    );
    const modest = planJobs('modest', {
      jobs: 8,
      tasks: 4,
      taskMs,
      team: 'calvings',
    });
    const served = await harness.submitOnce(modest, 0);
    const records = [...(await filling), ...(await excess)];
    harness.assertAllComplete(served);
    const counts = harness.assertNoViolations([...records, ...served]);
    harness.assertAnswered(records);
    t.is(counts.complete + counts.refused, records.length + served.length);
    t.true(counts.refused > 0);
    t.true(4 * countKind(records, 'complete') >= maxQueuedTasks);
  },
);

test.serial(
  'a burst of three times the queue limit that arrives at an empty queue is refused beyond twice the limit',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases, configuration});
    const burst = ['pens', 'crossings'].flatMap(team =>
      planJobs(team, {
        jobs: (overloadFactor * maxQueuedTasks) / 8,
        tasks: 4,
        taskMs: 5000,
        team,
        deadlineMs: 120_000,
      }),
    );
    const records = harness.submitOnce(burst, 0);
    await harness.waitUntil(
      'every job is either accepted or refused',
      async () => {
        const {jobsInHand, refusals} = await harness.readEntry(0);
        const refused = refusals['overloaded'] ?? 0;
        return jobsInHand + refused === burst.length && refused > 0;
      },
    );
    const {jobsInHand} = await harness.readEntry(0);
    t.true(
      4 * jobsInHand - executorSlots <= 2 * maxQueuedTasks,
      String(jobsInHand),
    );
    for (const plan of burst) await harness.cancel(plan, 0);
    harness.assertNoViolations(await records);
  },
);

test.serial(
  'jobs beyond the quota of a team are refused as not run, and jobs of a team within its quota complete',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases, configuration});
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
      harness.submitOnce(over, 0),
      harness.submitOnce(within, 1),
    ]);
    harness.assertAllComplete(served);
    const counts = harness.assertNoViolations(refused);
    t.is(counts.complete + counts.refused, over.length);
    t.true(counts.complete > 0);
    t.true(counts.refused > 0);
  },
);
