import test from 'ava';
import {PersistentMap, type View} from '#membership';
import type {QueuedJob} from '#model';
import {waitUntil} from '../../runner/test/harness.js';
import {rankRegistrars} from '../src/claims.js';
import {
  buildJob,
  buildLongJob,
  buildTarget,
  buildView,
  queue,
  startHome,
  startRouter,
} from './harness.js';

/** Starts an entry and three targets with dispatchers, each in a failure domain of its own. */
async function startDomains() {
  const ids = ['target-0', 'target-1', 'target-2'];
  const homes = await Promise.all(ids.map(id => startHome(id)));
  const entry = startRouter();
  const targets = homes.map(({address}, i) => {
    const target = buildTarget(ids[i]!, address);
    const place = {...target.place, failureDomain: ids[i]!};
    return [ids[i]!, {...target, place}] as const;
  });
  /** Creates the view in which the domains of some targets are evacuated. */
  const viewWithout = (...evacuated: readonly string[]): View => ({
    ...buildView([], []),
    targets: PersistentMap.collect(targets),
    evacuated: new Set(evacuated),
  });
  /** Delivers a view to the entry and all agents, but for the runners and dispatchers that are late. */
  const deliver = (
    view: View,
    late: {runner?: string; dispatcher?: string} = {},
  ) => {
    entry.router.follow(view);
    homes.forEach(({dispatcher, runner}, i) => {
      const id = ids[i]!;
      if (id !== late.runner)
        runner.runner.setEvacuated(view.evacuated.has(id));
      if (id !== late.dispatcher) dispatcher.follow(view);
    });
  };
  deliver(viewWithout());
  await waitUntil(
    () =>
      entry.router.homeCount === 3 &&
      homes.every(({dispatcher}) => dispatcher.describe().reports! >= 3),
  );
  const addresses = homes.map(({address}) => address);
  return {
    homes,
    entry,
    viewWithout,
    deliver,
    /** Finds the home of a job while all domains are in service. */
    findHome: (job: string) =>
      addresses.indexOf(rankRegistrars(job, addresses)[0]!),
    countStarts: () =>
      homes.reduce((sum, {executor}) => sum + executor.starts.length, 0),
    endAll: () => {
      for (const {executor} of homes) {
        for (const ref of [...executor.running.values()])
          executor.end(ref, 'succeeded');
      }
    },
    async [Symbol.asyncDispose]() {
      for (const each of [entry, ...homes]) await each[Symbol.asyncDispose]();
    },
  };
}

/** Builds a job of two steps, the second of which needs the first. */
function buildChain(id: string, count: number): QueuedJob {
  const job = buildLongJob(id, count);
  return {...job, steps: [job.steps[0]!, {...job.steps[0]!, after: [0]}]};
}

const submissionOf = (job: QueuedJob) => ({
  job,
  queue,
  arrivedAt: performance.now(),
  callerDeadline: performance.now() + 60_000,
});

test('a job whose home is in an evacuated domain goes on with targets elsewhere', async t => {
  await using site = await startDomains();
  const home = site.findHome('job');
  const {dispatcher, executor} = site.homes[home]!;
  const outcome = site.entry.submit(buildChain('job', 4));
  await waitUntil(() => site.countStarts() === 4);
  const before = executor.starts.length;
  site.deliver(site.viewWithout(`target-${home}`));
  t.is(dispatcher.jobCount, 1);
  site.endAll();
  await waitUntil(() => site.countStarts() === 8);
  site.endAll();
  t.deepEqual(await outcome, {kind: 'completed'});
  t.is(executor.starts.length, before);
});

test('new jobs go to homes elsewhere while a domain is evacuated, and back afterwards', async t => {
  await using site = await startDomains();
  const home = site.findHome('job');
  const {dispatcher, executor} = site.homes[home]!;
  site.deliver(site.viewWithout(`target-${home}`));
  const during = site.entry.submit(buildLongJob('job', 4));
  await waitUntil(() => site.countStarts() === 4);
  t.is(dispatcher.jobCount, 0);
  t.is(executor.starts.length, 0);
  site.endAll();
  t.deepEqual(await during, {kind: 'completed'});
  site.deliver(site.viewWithout());
  const id = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].find(
    each => site.findHome(each) === home,
  )!;
  const after = site.entry.submit(buildLongJob(id, 4));
  await waitUntil(() => site.countStarts() === 8);
  t.is(dispatcher.jobCount, 1);
  site.endAll();
  t.deepEqual(await after, {kind: 'completed'});
});

test('what a dispatcher with a late view places in an evacuated domain runs elsewhere', async t => {
  await using site = await startDomains();
  const home = site.findHome('job');
  const {executor} = site.homes[home]!;
  const late = {dispatcher: `target-${home}`};
  site.deliver(site.viewWithout(`target-${home}`), late);
  const outcome = site.homes[home]!.dispatcher.submit(
    submissionOf(buildLongJob('job', 4)),
  );
  await waitUntil(() => site.countStarts() === 4);
  t.is(executor.starts.length, 0);
  site.endAll();
  t.deepEqual(await outcome, {kind: 'completed'});
});

test('dispatchers place nothing in an evacuated domain whose agent has a late view', async t => {
  await using site = await startDomains();
  const home = site.findHome('job');
  const late = {runner: `target-${home}`, dispatcher: `target-${home}`};
  site.deliver(site.viewWithout(`target-${home}`), late);
  const outcome = site.entry.submit(buildLongJob('job', 4));
  await waitUntil(() => site.countStarts() === 4);
  t.is(site.homes[home]!.executor.starts.length, 0);
  site.endAll();
  t.deepEqual(await outcome, {kind: 'completed'});
});

test('a second domain is evacuated during the first', async t => {
  await using site = await startDomains();
  site.deliver(site.viewWithout('target-0'));
  const outcome = site.entry.submit(buildChain('job', 4));
  await waitUntil(() => site.countStarts() === 4);
  site.deliver(site.viewWithout('target-0', 'target-1'));
  const before = site.homes[2]!.executor.starts.length;
  site.endAll();
  await waitUntil(() => site.countStarts() === 8);
  t.is(site.homes[0]!.executor.starts.length, 0);
  t.is(site.homes[2]!.executor.starts.length, before + 4);
  site.endAll();
  t.deepEqual(await outcome, {kind: 'completed'});
});

test('while all domains are evacuated, a short job is refused at once and a patient one waits', async t => {
  await using site = await startDomains();
  site.deliver(site.viewWithout('target-0', 'target-1', 'target-2'));
  const short = await site.entry.submit(buildJob('short', 1));
  t.like(short, {kind: 'refused', cause: 'no-room', retryAfterMs: 5000});
  const patient = site.entry.submit(buildLongJob('patient', 1));
  await waitUntil(() => site.homes.some(each => each.dispatcher.jobCount > 0));
  t.is(site.countStarts(), 0);
  site.deliver(site.viewWithout());
  await waitUntil(() => site.countStarts() === 1);
  site.endAll();
  t.deepEqual(await patient, {kind: 'completed'});
});

test('a job that only an evacuated target could hold does not fail, and runs once it is back', async t => {
  await using site = await startDomains();
  const view = site.viewWithout('target-1');
  const target = view.targets.get('target-1')!;
  const capacity = {
    ...target.capacity,
    labels: ['rare'],
  } as typeof target.capacity;
  const targets = view.targets.set('target-1', {...target, capacity});
  const {runner, dispatcher} = site.homes[1]!;
  runner.announce({
    room: {
      kind: 'room',
      cpuMillis: 4000,
      memoryMb: 4096,
      accelerators: 0,
      labels: ['rare'],
    },
  });
  site.deliver({...view, targets});
  const job = buildLongJob('job', 1);
  const steps = job.steps.map(step => ({...step, requiredLabel: 'rare'}));
  const outcome = site.homes[0]!.dispatcher.submit(
    submissionOf({...job, steps}),
  );
  await waitUntil(() => site.homes[0]!.dispatcher.jobCount === 1);
  const reports = dispatcher.describe().reports!;
  await waitUntil(() => dispatcher.describe().reports! > reports + 3);
  t.is(site.countStarts(), 0);
  site.deliver({...view, targets, evacuated: new Set()});
  await waitUntil(() => site.homes[1]!.executor.starts.length === 1);
  site.endAll();
  t.deepEqual(await outcome, {kind: 'completed'});
});
