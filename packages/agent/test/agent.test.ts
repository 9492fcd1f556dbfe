import type {ServerResponse} from 'node:http';
import test from 'ava';
import {
  answer,
  closeHarness,
  FakeEntry,
  FakeTarget,
  inMs,
  makeTask,
  openHarness,
  openDroppingProxy,
  type Serve,
  waitUntil,
} from './harness.js';

/** Holds the target's responses until `release` is called. */
function holdAnswers() {
  const held: (() => void)[] = [];
  const serve: Serve = (body, response) =>
    void held.push(() => answer(body, response));
  const release = () => held.splice(0).forEach(finish => finish());
  return {held, serve, release};
}

const succeeded = {kind: 'succeeded', result: 'p'};

test('a granted task runs and its report returns the slot', async t => {
  const harness = await openHarness({slots: 1});
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 1);
  entry.start({payload: {echo: 5}});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'succeeded',
    result: {echo: 5},
  });
  t.is(entry.free, 1);
  await closeHarness(harness);
});

test('duplicate starts of a running or ended task get the outcome of its only run', async t => {
  const {held, serve, release} = holdAnswers();
  const harness = await openHarness({serve});
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 4);
  entry.start();
  entry.start();
  await waitUntil(() => held.length === 1);
  release();
  t.deepEqual(await entry.awaitFate('a.0'), succeeded);
  entry.fates.clear();
  entry.start();
  t.deepEqual(await entry.awaitFate('a.0'), succeeded);
  t.deepEqual(harness.target.seen, ['a.0']);
  t.is(harness.agent.getStatus().duplicates, 2);
  await waitUntil(() => entry.free === 4);
  await closeHarness(harness);
});

test('idle grants of a disconnected entry are freed; a later outcome is reported when it reconnects', async t => {
  const {held, serve, release} = holdAnswers();
  const placement = {kind: 'probe', probesPerTask: 2} as const;
  const harness = await openHarness({serve, slots: 2, placement});
  const first = await FakeEntry.connect(harness, 1, 1);
  first.peer.notify('agent.reserve', {slots: 2});
  await waitUntil(() => first.free === 2);
  first.start();
  await waitUntil(() => held.length === 1);
  const other = await FakeEntry.connect(harness, 9);
  other.peer.notify('agent.reserve', {slots: 1});
  first.peer.close('lost');
  await waitUntil(() => other.free === 1);
  release();
  await waitUntil(() => harness.agent.getStatus().running === 0);
  const second = await FakeEntry.connect(harness, 1, 2);
  t.deepEqual(await second.awaitFate('a.0'), succeeded);
  await closeHarness(harness);
});

test('a newer connection replaces the older one, and a query tells which starts arrived', async t => {
  const {held, serve} = holdAnswers();
  const harness = await openHarness({serve});
  const first = await FakeEntry.connect(harness, 1, 1);
  await waitUntil(() => first.free === 4);
  first.start({task: 0});
  await waitUntil(() => held.length === 1);
  const second = await FakeEntry.connect(harness, 1, 2);
  first.start({task: 1});
  t.is(await first.peer.closed, 'closed by the other end');
  t.deepEqual(await second.query({job: 'a', task: 0}, {job: 'a', task: 1}), [
    {kind: 'running'},
    {kind: 'never-started'},
  ]);
  for (const [epoch, connection] of [
    [1, 1],
    [1, 2],
    [0, 9],
  ] as const) {
    const reply = await second.peer.request(
      'agent.hello',
      {entry: 'entry-1', epoch, connection},
      inMs(5000),
    );
    t.deepEqual(reply.extract(), {kind: 'fenced'});
  }
  t.deepEqual(harness.target.seen, ['a.0']);
  await closeHarness(harness);
});

test('tasks queued on a lost connection never start', async t => {
  const {held, serve, release} = holdAnswers();
  const harness = await openHarness({
    serve,
    slots: 1,
    placement: {kind: 'random'},
  });
  const first = await FakeEntry.connect(harness, 1, 1);
  first.start({task: 0, granted: false});
  first.start({task: 1, granted: false});
  await waitUntil(() => held.length === 1);
  t.deepEqual(await first.query({job: 'a', task: 1}), [{kind: 'running'}]);
  const second = await FakeEntry.connect(harness, 1, 2);
  t.deepEqual(await second.query({job: 'a', task: 1}), [
    {kind: 'never-started'},
  ]);
  release();
  await second.awaitFate('a.0');
  t.deepEqual(harness.target.seen, ['a.0']);
  await closeHarness(harness);
});

test('a fence rejects the epoch and reports its running task to a successor that connects later', async t => {
  const {held, serve, release} = holdAnswers();
  const harness = await openHarness({serve});
  const old = await FakeEntry.connect(harness, 1);
  await waitUntil(() => old.free === 4);
  old.start();
  await waitUntil(() => held.length === 1);
  const other = await FakeEntry.connect(harness, 3);
  const fenced = await other.peer.request(
    'agent.fence',
    {epochs: [1], heir: 2, after: 0},
    inMs(5000),
  );
  t.deepEqual(fenced.unsafeCoerce(), {
    target: 'target-1',
    incarnation: 7,
    tasks: [{job: 'a', task: 0, standing: {kind: 'running'}}],
  });
  await old.peer.closed;
  release();
  await waitUntil(() => harness.agent.getStatus().running === 0);
  const successor = await FakeEntry.connect(harness, 2);
  t.deepEqual(await successor.awaitFate('a.0'), succeeded);
  const back = await successor.peer.request(
    'agent.hello',
    {entry: 'entry-1', epoch: 1, connection: 99},
    inMs(5000),
  );
  t.deepEqual(back.extract(), {kind: 'fenced'});
  await closeHarness(harness);
});

test('a drain refuses new tasks, finishes and reports running ones, and withdraws', async t => {
  const {held, serve, release} = holdAnswers();
  const harness = await openHarness({serve});
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 4);
  entry.start({task: 0});
  await waitUntil(() => held.length === 1);
  await entry.peer.request('agent.drain', {remainingMs: 60_000}, inMs(5000));
  entry.start({task: 1});
  t.deepEqual(await entry.awaitFate('a.1'), {
    kind: 'not-run',
    reason: 'draining',
  });
  await waitUntil(() => harness.control.announced.at(-1)!.target.leaving);
  release();
  t.deepEqual(await entry.awaitFate('a.0'), succeeded);
  entry.peer.close('nothing is left');
  t.true(await harness.agent.drained);
  t.deepEqual(harness.control.withdrawn, ['target-1']);
  t.deepEqual(harness.target.seen, ['a.0']);
  await closeHarness(harness);
});

test('a drain waits for an entry whose connection loses the last report', async t => {
  const {held, serve, release} = holdAnswers();
  const harness = await openHarness({serve});
  const proxy = await openDroppingProxy(harness.agent.address);
  const first = await FakeEntry.connect(
    harness,
    1,
    1,
    'entry-1',
    proxy.address,
  );
  await waitUntil(() => first.free === 4);
  first.start();
  await waitUntil(() => held.length === 1);
  proxy.dropReplies();
  let isOver = false;
  const drained = harness.agent.drain(inMs(60_000));
  void drained.then(() => (isOver = true));
  release();
  await waitUntil(() => harness.agent.sessionCount === 0);
  t.false(isOver);
  const second = await FakeEntry.connect(harness, 1, 2);
  t.deepEqual(await second.query({job: 'a', task: 0}), [
    {kind: 'ended', fate: succeeded},
  ]);
  t.false(first.fates.has('a.0'));
  second.peer.close('nothing is left');
  t.true(await drained);
  first.peer.close('the test is over');
  proxy.close();
  await closeHarness(harness);
});

test('a drain that reaches its deadline reports interrupted tasks as unknown', async t => {
  const {held, serve} = holdAnswers();
  const harness = await openHarness({serve});
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 4);
  entry.start();
  await waitUntil(() => held.length === 1);
  t.false(await harness.agent.drain(inMs(20)));
  await harness.agent[Symbol.asyncDispose]();
  t.is((await entry.awaitFate('a.0')).kind, 'unknown');
  await closeHarness(harness);
});

test('a task on a target that hangs is stopped after its longest run time', async t => {
  const harness = await openHarness({serve: () => {}, maxTaskMs: 30, slots: 1});
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 1);
  entry.start();
  const fate = await entry.awaitFate('a.0');
  t.is(fate.kind, 'failed');
  await waitUntil(() => entry.free === 1);
  t.deepEqual(harness.target.seen, ['a.0']);
  await closeHarness(harness);
});

const crashes: Readonly<Record<string, (response: ServerResponse) => void>> = {
  'before its answer': response => void response.socket!.destroy(),
  'amid its answer': response => {
    response.writeHead(200, {'content-length': '100'});
    response.write('{"result"', () => response.socket!.destroy());
  },
};
for (const [when, crash] of Object.entries(crashes)) {
  test(`a task whose target dies ${when} has an unknown outcome and is not sent again`, async t => {
    const harness = await openHarness({
      serve: (_, response) => crash(response),
    });
    const entry = await FakeEntry.connect(harness, 1);
    await waitUntil(() => entry.free === 4);
    entry.start();
    t.is((await entry.awaitFate('a.0')).kind, 'unknown');
    t.deepEqual(harness.target.seen, ['a.0']);
    await closeHarness(harness);
  });
}

test('an unreachable target gets no task until it answers again', async t => {
  const harness = await openHarness();
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 4);
  const port = Number(new URL(harness.target.url).port);
  await harness.target[Symbol.asyncDispose]();
  entry.start({task: 0});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'not-run',
    reason: 'target-down',
  });
  await waitUntil(() => entry.free === 0);
  t.deepEqual(await entry.query({job: 'a', task: 0}), [
    {kind: 'never-started'},
  ]);
  const target = await new FakeTarget().open(port);
  await waitUntil(() => entry.free === 4);
  entry.fates.clear();
  entry.start({task: 0});
  t.deepEqual(await entry.awaitFate('a.0'), succeeded);
  await closeHarness({...harness, target});
});

test('an error response or one without a result fails the task', async t => {
  const harness = await openHarness({
    serve: ({task}, response) => {
      response.statusCode = task === 0 ? 500 : 200;
      response.end(task === 0 ? '{"error":"no herd"}' : 'gibberish');
    },
  });
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 4);
  entry.start({task: 0});
  entry.start({task: 1});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'failed',
    detail: 'target answered 500: no herd',
  });
  t.is((await entry.awaitFate('a.1')).kind, 'failed');
  await closeHarness(harness);
});

test('an expired task is refused and its slot returned', async t => {
  const harness = await openHarness({slots: 1});
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 1);
  entry.start({remainingMs: 0});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'not-run',
    reason: 'expired',
  });
  await waitUntil(() => entry.free === 1);
  await closeHarness(harness);
});

// Guards against a task that reaches an agent which was restarted for another service.
test('a task of another service is refused and its slot returned', async t => {
  const harness = await openHarness({slots: 1});
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 1);
  entry.start({service: 'renewal'});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'not-run',
    reason: 'wrong-service',
  });
  t.is(harness.target.seen.length, 0);
  await waitUntil(() => entry.free === 1);
  entry.start({task: 1, service: 'tally'});
  t.is((await entry.awaitFate('a.1')).kind, 'succeeded');
  await closeHarness(harness);
});

test('cancelling many tasks stops running ones and refuses queued ones', async t => {
  const {held, serve} = holdAnswers();
  const placement = {kind: 'random'} as const;
  const harness = await openHarness({serve, slots: 4, placement});
  const entry = await FakeEntry.connect(harness, 1);
  const tasks = Array.from({length: 10_000}, (_, task) =>
    makeTask({task, granted: false}),
  );
  entry.peer.notify('agent.start', {tasks, waiting: 0});
  await waitUntil(() => held.length === 4);
  entry.peer.notify('agent.cancel', {tasks});
  await waitUntil(() => entry.fates.size === 10_000);
  const kinds = new Map<string, number>();
  for (const fate of entry.fates.values()) {
    const kind = fate.kind === 'not-run' ? fate.reason : fate.kind;
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
  }
  t.deepEqual([...kinds].sort(), [
    ['cancelled', 4 + 8],
    ['no-slot', 9988],
  ]);
  t.is(harness.target.seen.length, 4);
  await closeHarness(harness);
});

test('the probe policy grants a reserved slot when it becomes free', async t => {
  const {held, serve, release} = holdAnswers();
  const placement = {kind: 'probe', probesPerTask: 2} as const;
  const harness = await openHarness({serve, slots: 1, placement});
  const one = await FakeEntry.connect(harness, 1);
  const two = await FakeEntry.connect(harness, 2);
  one.peer.notify('agent.reserve', {slots: 1});
  await waitUntil(() => one.free === 1);
  one.start();
  two.peer.notify('agent.reserve', {slots: 1});
  await waitUntil(() => held.length === 1);
  t.is(two.free, 0);
  release();
  await waitUntil(() => two.free === 1);
  t.is(one.free, 0);
  await closeHarness(harness);
});

test('malformed messages and connections without a session have no effect', async t => {
  const harness = await openHarness({slots: 1});
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 1);
  entry.peer.notify('agent.start', {tasks: [{job: 1}]} as never);
  entry.peer.notify('agent.release', {slots: -1});
  entry.peer.notify('agent.reserve', {slots: 1e9});
  const outdated = await FakeEntry.connect(harness, 0, 1, 'entry-1');
  outdated.start();
  const reply = await outdated.peer.request(
    'agent.query',
    {tasks: []},
    inMs(5000),
  );
  t.is(reply.swap().unsafeCoerce().kind, 'rejected');
  entry.start({job: 'b'});
  t.deepEqual(await entry.awaitFate('b.0'), succeeded);
  t.deepEqual(harness.target.seen, ['b.0']);
  await closeHarness(harness);
});
