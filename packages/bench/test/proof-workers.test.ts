import test from 'ava';
import {defaultConfiguration, describeWorker} from '#bench';
import {planJobs} from './jobs.js';
import {shortTargetLeases, Harness, longLeases} from './harness.js';

const worker = describeWorker('tally');
const workerSlots = 16;
/** Longer than a worker's lease on a task. */
const longTaskMs = 9000;
const smallShape = {jobs: 8, tasks: 4, taskMs: 20};

test.serial(
  'tasks of a worker whose agent is killed are stopped when their leases expire, and none starts again',
  async t => {
    const harness = await Harness.open(t, {
      leases: shortTargetLeases,
      targets: [worker, worker],
    });
    const jobs = planJobs('held', {
      jobs: 2 * workerSlots,
      tasks: 1,
      taskMs: longTaskMs,
    });
    const submitted = harness.submitOnce(jobs, 0);
    await harness.waitForStarts(jobs.length);
    await harness.site.kill('tally-0', 'SIGKILL');
    const {running} = await harness.site.readCounts('tally-0');
    await harness.waitUntil('the worker runs no task', async () => {
      const counts = await harness.site.readCounts('tally-0');
      return counts.running === 0;
    });
    t.is((await harness.site.readCounts('tally-0')).stopped, running);
    const records = await submitted;
    const counts = harness.assertNoViolations(records);
    harness.assertAnswered(records);
    t.is(counts.complete, jobs.length - running);
    t.is(counts.unknown, running);
  },
);

test.serial(
  'a restarted agent stops the tasks that its worker runs before it takes new ones',
  async t => {
    const harness = await Harness.open(t, {
      leases: longLeases,
      targets: [worker],
    });
    const jobs = planJobs('old', {
      jobs: workerSlots,
      tasks: 1,
      taskMs: longTaskMs,
    });
    const submitted = harness.submitOnce(jobs, 0);
    await harness.waitForStarts(jobs.length);
    await harness.site.kill('tally-0', 'SIGKILL');
    await harness.site.restart('tally-0');
    harness.assertAllComplete(
      await harness.submitAll(planJobs('new', smallShape), 0),
    );
    const records = await submitted;
    harness.assertNoViolations(records);
    harness.assertAnswered(records);
    const {stopped, refused} = await harness.site.readCounts('tally-0');
    t.deepEqual({stopped, refused}, {stopped: workerSlots, refused: 0});
  },
);

test.serial(
  'a task that uses too much memory is throttled, checkpointed and stopped, and its job is marked failed',
  async t => {
    const harness = await Harness.open(t, {
      leases: longLeases,
      targets: [worker],
    });
    const withinLimit = planJobs('modest', {
      jobs: 4,
      tasks: 2,
      taskMs: longTaskMs,
    });
    const running = harness.submitOnce(withinLimit, 0);
    const [overLimit] = await harness.submitOnce(
      planJobs('greedy', {
        jobs: 1,
        tasks: 1,
        taskMs: longTaskMs,
        payload: {memoryMb: 1000},
      }),
      0,
    );
    const {outcome} = overLimit!.attempts[0]!;
    t.is(outcome.kind === 'failed' && outcome.reason, 'task-failed');
    harness.assertNoViolations([overLimit!]);
    harness.assertAllComplete(await running);
    const {throttled, checkpointed, stopped} =
      await harness.site.readCounts('tally-0');
    t.true(throttled! > 0);
    t.deepEqual({checkpointed, stopped}, {checkpointed: 1, stopped: 1});
  },
);

test.serial(
  'a task that uses too many cores is throttled and still completes',
  async t => {
    const harness = await Harness.open(t, {
      leases: longLeases,
      targets: [worker],
    });
    const jobs = planJobs('wide', {
      jobs: 1,
      tasks: 2,
      taskMs: 2000,
      payload: {cores: 2},
    });
    harness.assertAllComplete(await harness.submitOnce(jobs, 0));
    const {throttled, stopped} = await harness.site.readCounts('tally-0');
    t.deepEqual({throttled, stopped}, {throttled: 2, stopped: 0});
  },
);

test.serial(
  'jobs that no target can run are refused as not run, and others complete',
  async t => {
    const {services, ...rest} = defaultConfiguration;
    const demand = {cores: 17, memory_mb: 256, accelerators: 0};
    const huge = {...(services['tally'] as object), demand};
    const harness = await Harness.open(t, {
      leases: longLeases,
      targets: [worker, describeWorker('huge')],
      configuration: {...rest, services: {...services, huge}},
    });
    const shape = {...smallShape, taskMs: 10};
    const submitted = await Promise.all([
      harness.submitOnce(planJobs('huge', {...shape, service: 'huge'}), 0),
      harness.submitOnce(planJobs('stray', {...shape, service: 'none'}), 1),
      harness.submitOnce(planJobs('fit', shape), 0),
    ]);
    const reasons = submitted.map(records => [
      ...new Set(
        records.map(({attempts: [{outcome} = {outcome: undefined}]}) =>
          outcome?.kind === 'not-run' ? outcome.reason : outcome?.kind,
        ),
      ),
    ]);
    t.deepEqual(reasons, [
      ['can-never-run'],
      ['unknown-service'],
      ['complete'],
    ]);
    harness.assertAllComplete(submitted[2]!);
    t.is(
      harness.assertNoViolations(submitted.flat()).refused,
      2 * smallShape.jobs,
    );
  },
);
