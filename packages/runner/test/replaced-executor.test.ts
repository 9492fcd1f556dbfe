import test from 'ava';
import {dialPeer} from '#protocol';
import type {ExecutorInfo} from '#runner';
import {sleep, startRunner, waitUntil} from './harness.js';

const roomWith = (labels: readonly string[], cpuMillis = 4000) => ({
  kind: 'room' as const,
  cpuMillis,
  memoryMb: 4096,
  accelerators: 0,
  labels,
});

const replacements = [
  {
    what: 'without the label that a task requires',
    first: {room: roomWith(['a'])},
    next: {room: roomWith(['b'])},
    needs: {requiredLabel: 'a'},
  },
  {
    what: 'of another service',
    first: {},
    next: {service: 'renewal'},
    needs: {service: 'tally'},
  },
  {
    what: 'that is too small for a task',
    first: {},
    next: {room: roomWith([], 500)},
    needs: {},
  },
];

// Guards against tasks that start on an executor without their label, of another service or too small, because it
// took the place of the one that a dispatcher placed them for (docs/incidents/replaced-executor.md).
for (const {what, first, next, needs} of replacements) {
  for (const incarnation of [1, 2]) {
    const how = incarnation === 1 ? 'turns into one' : 'is replaced by one';
    test(`a run is returned as not begun when its executor ${how} ${what}`, async t => {
      await using harness = await startRunner();
      const {executor} = harness;
      harness.announce(first);
      const dispatcher = await harness.attach('d');
      dispatcher.place(1, 0, 1, needs);
      await waitUntil(() => executor.starts.length === 1);
      executor.end(executor.starts[0]!, 'succeeded');
      await waitUntil(() => dispatcher.ends.length === 1);
      harness.announce({...next, incarnation});
      // A new incarnation gets no runs before it has answered.
      await sleep(100);
      dispatcher.place(2, 1, 1, needs);
      await waitUntil(() => dispatcher.ends.length === 2);
      t.deepEqual(dispatcher.ends[1]!.slice(0, 2), [2, 'not-run']);
      await sleep(50);
      t.is(executor.starts.length, 1);
    });
  }

  test(`a run that waits is returned as not begun when its executor turns into one ${what}`, async t => {
    await using harness = await startRunner();
    const {executor} = harness;
    harness.announce(first);
    const dispatcher = await harness.attach('d');
    for (let i = 0; i < 5; i++) dispatcher.place(i + 1, i, 1, needs);
    await waitUntil(() => executor.starts.length === 4);
    harness.announce(next);
    await waitUntil(() => dispatcher.ends.length === 1);
    t.deepEqual(dispatcher.ends[0]!.slice(0, 2), [5, 'not-run']);
  });
}

// Guards against runs that are returned again and again because their dispatcher goes by an older view.
test('dispatchers learn from the runner what an executor has turned into', async t => {
  await using harness = await startRunner();
  const dispatcher = await harness.attach('d');
  const room = roomWith(['b']);
  harness.announce({room, incarnation: 2});
  await waitUntil(() => dispatcher.reports.some(({executor}) => executor));
  const [report] = dispatcher.reports.filter(({executor}) => executor);
  t.deepEqual(report!.executor, {service: 'tally', capacity: room});
});

/** Starts a runner whose executor has another run in hand, so that its lists are asked for. */
async function startBusyRunner(changes: Partial<ExecutorInfo> = {}) {
  const harness = await startRunner();
  harness.announce(changes);
  const dispatcher = await harness.attach('d');
  dispatcher.place(1, 0);
  await waitUntil(() => harness.executor.starts.length === 1);
  return {
    harness,
    dispatcher,
    executor: harness.executor,
    [Symbol.asyncDispose]: () => harness[Symbol.asyncDispose](),
  };
}

// Guards against starts at an executor that came back under its id with other labels: the first sign of it may be its lists, not its announcement.
test('no run starts once the lists of an executor come from an incarnation that is not announced yet', async t => {
  await using busy = await startBusyRunner({
    room: roomWith(['a']),
  });
  const {harness, dispatcher, executor} = busy;
  executor.restart(2);
  await waitUntil(() => dispatcher.ends.length === 1);
  t.deepEqual(dispatcher.ends[0]!.slice(0, 2), [1, 'lapsed']);
  dispatcher.place(2, 1, 1, {requiredLabel: 'a'});
  await waitUntil(() => dispatcher.ends.length === 2);
  t.deepEqual(dispatcher.ends[1]!.slice(0, 2), [2, 'not-run']);
  harness.announce({room: roomWith(['b']), incarnation: 2});
  await waitUntil(() => dispatcher.reports.at(-1)!.load.open);
  t.is(executor.starts.length, 1);
  dispatcher.place(3, 2);
  await waitUntil(() => executor.starts.length === 2);
});

// Guards against a delayed announcement that opens the runner with the description of an executor that has gone.
test('an announcement of an incarnation before the one in the lists changes nothing', async t => {
  await using busy = await startBusyRunner();
  const {harness, dispatcher, executor} = busy;
  executor.restart(2);
  await waitUntil(() => dispatcher.ends.length === 1);
  harness.runner.announce({...harness.runner.info!, service: 'renewal'});
  await sleep(100);
  dispatcher.place(2, 1);
  await waitUntil(() => dispatcher.ends.length === 2);
  t.deepEqual(dispatcher.ends[1]!.slice(0, 2), [2, 'not-run']);
  t.is(harness.runner.info!.service, 'tally');
  t.is(executor.starts.length, 1);
});

// Guards against a task that runs twice: its run, confirmed by a new incarnation before that was announced, was given up while it went on.
test('a run that the new incarnation of an executor has begun goes on', async t => {
  await using busy = await startBusyRunner();
  const {harness, dispatcher, executor} = busy;
  executor.isListing = false;
  executor.restart(2);
  dispatcher.place(2, 1);
  await waitUntil(() => executor.starts.length === 2);
  await sleep(5);
  harness.announce({incarnation: 2});
  executor.isListing = true;
  await waitUntil(() => dispatcher.ends.length === 1);
  t.deepEqual(dispatcher.ends[0]!.slice(0, 2), [1, 'lapsed']);
  await sleep(100);
  t.is(dispatcher.ends.length, 1);
  executor.end(executor.starts[1]!, 'succeeded');
  await waitUntil(() => dispatcher.ends.length === 2);
  t.deepEqual(dispatcher.ends[1]!.slice(0, 2), [2, 'succeeded']);
});

// Guards against a late start from before a restart: the executor has forgotten that the run was stopped, and only a higher fence tells it.
test('orders carry a higher fence after each restart of the executor', async t => {
  await using busy = await startBusyRunner();
  const {harness, dispatcher, executor} = busy;
  await waitUntil(() => executor.fences.length > 0);
  const earlier = executor.fences.at(-1)!;
  executor.restart(2);
  harness.announce({incarnation: 2});
  await waitUntil(() => dispatcher.ends.length === 1);
  t.true(executor.fences.at(-1)! > earlier);
});

// Guards against an executor without a start time whose successor, under another id, is taken for it.
test('runs lapse when an executor of another id has the same start time', async t => {
  await using busy = await startBusyRunner();
  const {harness, dispatcher, executor} = busy;
  executor.restart(1);
  harness.announce({target: 'successor'});
  await waitUntil(() => dispatcher.ends.length === 1);
  t.deepEqual(dispatcher.ends[0]!.slice(0, 2), [1, 'lapsed']);
  await waitUntil(() => executor.fences.at(-1)! > executor.fences[0]!);
});

// Guards against an agent that restarts together with its executor and hears the delayed announcement of the executor's predecessor first.
test('a runner that knows only an earlier incarnation takes no runs', async t => {
  await using harness = await startRunner();
  const {executor, runner} = harness;
  executor.restart(3);
  runner.announce({...runner.info!, incarnation: 2, room: roomWith(['a'])});
  await sleep(100);
  const peer = (
    await dialPeer(harness.address, {}, performance.now() + 1000)
  ).unsafeCoerce();
  const attached = await peer.request(
    'runner.attach',
    {dispatcher: 'd', life: 1, tickets: []},
    performance.now() + 1000,
  );
  t.true(attached.isLeft());
  t.is(executor.starts.length, 0);
});
