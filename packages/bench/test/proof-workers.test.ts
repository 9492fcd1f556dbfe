import test from 'ava';
import {defaultConfiguration, describeWorker} from '#bench';
import {planJobs} from './jobs.js';
import {shortTargetLeases, Stand, steadyLeases} from './stand.js';

const worker = describeWorker('tally');
const slots = 16;
/** Longer than a worker's lease on a task. */
const longMs = 9000;
const after = {jobs: 8, tasks: 4, taskMs: 20};

test.serial(
  'tasks of a worker whose agent dies end with their leases, and none starts again',
  async t => {
    const stand = await Stand.open(t, {
      leases: shortTargetLeases,
      targets: [worker, worker],
    });
    const jobs = planJobs('held', {jobs: 2 * slots, tasks: 1, taskMs: longMs});
    const submitted = stand.submitOnce(jobs, 0);
    await stand.waitForStarts(jobs.length);
    await stand.site.kill('tally-0', 'SIGKILL');
    const {running} = await stand.site.readCounts('tally-0');
    await stand.waitUntil('the worker is empty', async () => {
      const counts = await stand.site.readCounts('tally-0');
      return counts.running === 0;
    });
    t.is((await stand.site.readCounts('tally-0')).stopped, running);
    const records = await submitted;
    const counts = stand.assertSound(records);
    stand.assertAnswered(records);
    t.is(counts.complete, jobs.length - running);
    t.is(counts.unknown, running);
  },
);

test.serial(
  'an agent that starts again ends what its worker runs before it takes new tasks',
  async t => {
    const stand = await Stand.open(t, {
      leases: steadyLeases,
      targets: [worker],
    });
    const jobs = planJobs('old', {jobs: slots, tasks: 1, taskMs: longMs});
    const submitted = stand.submitOnce(jobs, 0);
    await stand.waitForStarts(jobs.length);
    await stand.site.kill('tally-0', 'SIGKILL');
    await stand.site.restart('tally-0');
    stand.assertAllComplete(await stand.submitAll(planJobs('new', after), 0));
    const records = await submitted;
    stand.assertSound(records);
    stand.assertAnswered(records);
    const {stopped, refused} = await stand.site.readCounts('tally-0');
    t.deepEqual({stopped, refused}, {stopped: slots, refused: 0});
  },
);

test.serial(
  'a task that takes too much memory is throttled, checkpointed and stopped, and its job is marked failed',
  async t => {
    const stand = await Stand.open(t, {
      leases: steadyLeases,
      targets: [worker],
    });
    const modest = planJobs('modest', {jobs: 4, tasks: 2, taskMs: longMs});
    const running = stand.submitOnce(modest, 0);
    const [greedy] = await stand.submitOnce(
      planJobs('greedy', {
        jobs: 1,
        tasks: 1,
        taskMs: longMs,
        payload: {memoryMb: 1000},
      }),
      0,
    );
    const {outcome} = greedy!.attempts[0]!;
    t.is(outcome.kind === 'failed' && outcome.reason, 'task-failed');
    stand.assertSound([greedy!]);
    stand.assertAllComplete(await running);
    const {throttled, checkpointed, stopped} =
      await stand.site.readCounts('tally-0');
    t.true(throttled! > 0);
    t.deepEqual({checkpointed, stopped}, {checkpointed: 1, stopped: 1});
  },
);

test.serial(
  'a task that takes too many cores is throttled and goes on to its result',
  async t => {
    const stand = await Stand.open(t, {
      leases: steadyLeases,
      targets: [worker],
    });
    const jobs = planJobs('wide', {
      jobs: 1,
      tasks: 2,
      taskMs: 2000,
      payload: {cores: 2},
    });
    stand.assertAllComplete(await stand.submitOnce(jobs, 0));
    const {throttled, stopped} = await stand.site.readCounts('tally-0');
    t.deepEqual({throttled, stopped}, {throttled: 2, stopped: 0});
  },
);

test.serial(
  'jobs that fit no target are refused as not run, and others go on',
  async t => {
    const {services, ...rest} = defaultConfiguration;
    const demand = {cores: 17, memory_mb: 256, accelerators: 0};
    const huge = {...(services['tally'] as object), demand};
    const stand = await Stand.open(t, {
      leases: steadyLeases,
      targets: [worker, describeWorker('huge')],
      configuration: {...rest, services: {...services, huge}},
    });
    const shape = {...after, taskMs: 10};
    const submitted = await Promise.all([
      stand.submitOnce(planJobs('huge', {...shape, service: 'huge'}), 0),
      stand.submitOnce(planJobs('stray', {...shape, service: 'none'}), 1),
      stand.submitOnce(planJobs('fit', shape), 0),
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
    stand.assertAllComplete(submitted[2]!);
    t.is(stand.assertSound(submitted.flat()).refused, 2 * after.jobs);
  },
);
