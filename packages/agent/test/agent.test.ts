import type {ServerResponse} from 'node:http';
import test from 'ava';
import {
  answer,
  closeStand,
  FakeEntry,
  FakeTarget,
  inMs,
  makeTask,
  openStand,
  openSwallower,
  type Serve,
  waitUntil,
} from './stand.js';

/** A target that answers only when told to. */
function holdAnswers() {
  const held: (() => void)[] = [];
  const serve: Serve = (body, response) =>
    void held.push(() => answer(body, response));
  const release = () => held.splice(0).forEach(finish => finish());
  return {held, serve, release};
}

const succeeded = {kind: 'succeeded', result: 'p'};

test('a granted task runs and its report carries the slot back', async t => {
  const stand = await openStand({slots: 1});
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 1);
  entry.start({payload: {echo: 5}});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'succeeded',
    result: {echo: 5},
  });
  t.is(entry.free, 1);
  await closeStand(stand);
});

test('duplicates of a running and of an ended task get its one fate', async t => {
  const {held, serve, release} = holdAnswers();
  const stand = await openStand({serve});
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 4);
  entry.start();
  entry.start();
  await waitUntil(() => held.length === 1);
  release();
  t.deepEqual(await entry.awaitFate('a.0'), succeeded);
  entry.fates.clear();
  entry.start();
  t.deepEqual(await entry.awaitFate('a.0'), succeeded);
  t.deepEqual(stand.target.seen, ['a.0']);
  t.is(stand.agent.getStatus().duplicates, 2);
  await waitUntil(() => entry.free === 4);
  await closeStand(stand);
});

test('a lost entry frees its idle grants, and is told a late fate after its next hello', async t => {
  const {held, serve, release} = holdAnswers();
  const placement = {kind: 'probe', probesPerTask: 2} as const;
  const stand = await openStand({serve, slots: 2, placement});
  const first = await FakeEntry.connect(stand, 1, 1);
  first.peer.notify('agent.reserve', {slots: 2});
  await waitUntil(() => first.free === 2);
  first.start();
  await waitUntil(() => held.length === 1);
  const other = await FakeEntry.connect(stand, 9);
  other.peer.notify('agent.reserve', {slots: 1});
  first.peer.close('lost');
  await waitUntil(() => other.free === 1);
  release();
  await waitUntil(() => stand.agent.getStatus().running === 0);
  const second = await FakeEntry.connect(stand, 1, 2);
  t.deepEqual(await second.awaitFate('a.0'), succeeded);
  await closeStand(stand);
});

test('a newer connection bars the older one, and a query settles what was sent', async t => {
  const {held, serve} = holdAnswers();
  const stand = await openStand({serve});
  const first = await FakeEntry.connect(stand, 1, 1);
  await waitUntil(() => first.free === 4);
  first.start({task: 0});
  await waitUntil(() => held.length === 1);
  const second = await FakeEntry.connect(stand, 1, 2);
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
  t.deepEqual(stand.target.seen, ['a.0']);
  await closeStand(stand);
});

test('tasks queued on a lost connection never start', async t => {
  const {held, serve, release} = holdAnswers();
  const stand = await openStand({
    serve,
    slots: 1,
    placement: {kind: 'random'},
  });
  const first = await FakeEntry.connect(stand, 1, 1);
  first.start({task: 0, granted: false});
  first.start({task: 1, granted: false});
  await waitUntil(() => held.length === 1);
  t.deepEqual(await first.query({job: 'a', task: 1}), [{kind: 'running'}]);
  const second = await FakeEntry.connect(stand, 1, 2);
  t.deepEqual(await second.query({job: 'a', task: 1}), [
    {kind: 'never-started'},
  ]);
  release();
  await second.awaitFate('a.0');
  t.deepEqual(stand.target.seen, ['a.0']);
  await closeStand(stand);
});

test('a fence bars the epoch and hands its running task to the heir, connected later', async t => {
  const {held, serve, release} = holdAnswers();
  const stand = await openStand({serve});
  const old = await FakeEntry.connect(stand, 1);
  await waitUntil(() => old.free === 4);
  old.start();
  await waitUntil(() => held.length === 1);
  const other = await FakeEntry.connect(stand, 3);
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
  await waitUntil(() => stand.agent.getStatus().running === 0);
  const heir = await FakeEntry.connect(stand, 2);
  t.deepEqual(await heir.awaitFate('a.0'), succeeded);
  const back = await heir.peer.request(
    'agent.hello',
    {entry: 'entry-1', epoch: 1, connection: 99},
    inMs(5000),
  );
  t.deepEqual(back.extract(), {kind: 'fenced'});
  await closeStand(stand);
});

test('a drain refuses new tasks, finishes what runs, tells it and withdraws', async t => {
  const {held, serve, release} = holdAnswers();
  const stand = await openStand({serve});
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 4);
  entry.start({task: 0});
  await waitUntil(() => held.length === 1);
  await entry.peer.request('agent.drain', {remainingMs: 60_000}, inMs(5000));
  entry.start({task: 1});
  t.deepEqual(await entry.awaitFate('a.1'), {
    kind: 'not-run',
    reason: 'draining',
  });
  await waitUntil(() => stand.control.announced.at(-1)!.target.leaving);
  release();
  t.deepEqual(await entry.awaitFate('a.0'), succeeded);
  entry.peer.close('nothing is left');
  t.true(await stand.agent.drained);
  t.deepEqual(stand.control.withdrawn, ['target-1']);
  t.deepEqual(stand.target.seen, ['a.0']);
  await closeStand(stand);
});

test('a drain waits for an entry whose connection swallows the last report', async t => {
  const {held, serve, release} = holdAnswers();
  const stand = await openStand({serve});
  const swallower = await openSwallower(stand.agent.address);
  const first = await FakeEntry.connect(
    stand,
    1,
    1,
    'entry-1',
    swallower.address,
  );
  await waitUntil(() => first.free === 4);
  first.start();
  await waitUntil(() => held.length === 1);
  swallower.swallow();
  let isOver = false;
  const drained = stand.agent.drain(inMs(60_000));
  void drained.then(() => (isOver = true));
  release();
  await waitUntil(() => stand.agent.sessionCount === 0);
  t.false(isOver);
  const second = await FakeEntry.connect(stand, 1, 2);
  t.deepEqual(await second.query({job: 'a', task: 0}), [
    {kind: 'ended', fate: succeeded},
  ]);
  t.false(first.fates.has('a.0'));
  second.peer.close('nothing is left');
  t.true(await drained);
  first.peer.close('the test is over');
  swallower.close();
  await closeStand(stand);
});

test('a drain whose deadline passes tells what was cut as unknown', async t => {
  const {held, serve} = holdAnswers();
  const stand = await openStand({serve});
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 4);
  entry.start();
  await waitUntil(() => held.length === 1);
  t.false(await stand.agent.drain(inMs(20)));
  await stand.agent[Symbol.asyncDispose]();
  t.is((await entry.awaitFate('a.0')).kind, 'unknown');
  await closeStand(stand);
});

test('a task on a target that hangs is ended after the longest run time', async t => {
  const stand = await openStand({serve: () => {}, maxTaskMs: 30, slots: 1});
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 1);
  entry.start();
  const fate = await entry.awaitFate('a.0');
  t.is(fate.kind, 'failed');
  await waitUntil(() => entry.free === 1);
  t.deepEqual(stand.target.seen, ['a.0']);
  await closeStand(stand);
});

const deaths: Readonly<Record<string, (response: ServerResponse) => void>> = {
  'before its answer': response => void response.socket!.destroy(),
  'amid its answer': response => {
    response.writeHead(200, {'content-length': '100'});
    response.write('{"result"', () => response.socket!.destroy());
  },
};
for (const [when, die] of Object.entries(deaths)) {
  test(`a task whose target dies ${when} has an unknown fate and is not sent again`, async t => {
    const stand = await openStand({serve: (_, response) => die(response)});
    const entry = await FakeEntry.connect(stand, 1);
    await waitUntil(() => entry.free === 4);
    entry.start();
    t.is((await entry.awaitFate('a.0')).kind, 'unknown');
    t.deepEqual(stand.target.seen, ['a.0']);
    await closeStand(stand);
  });
}

test('a target that cannot be reached gets no task until it answers again', async t => {
  const stand = await openStand();
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 4);
  const port = Number(new URL(stand.target.url).port);
  await stand.target[Symbol.asyncDispose]();
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
  await closeStand({...stand, target});
});

test('answers that fail or say nothing fail the task', async t => {
  const stand = await openStand({
    serve: ({task}, response) => {
      response.statusCode = task === 0 ? 500 : 200;
      response.end(task === 0 ? '{"error":"no herd"}' : 'gibberish');
    },
  });
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 4);
  entry.start({task: 0});
  entry.start({task: 1});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'failed',
    detail: 'target answered 500: no herd',
  });
  t.is((await entry.awaitFate('a.1')).kind, 'failed');
  await closeStand(stand);
});

test('an expired task is refused and its slot returned', async t => {
  const stand = await openStand({slots: 1});
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 1);
  entry.start({remainingMs: 0});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'not-run',
    reason: 'expired',
  });
  await waitUntil(() => entry.free === 1);
  await closeStand(stand);
});

test('a wave of cancellations ends what runs and refuses what waits', async t => {
  const {held, serve} = holdAnswers();
  const placement = {kind: 'random'} as const;
  const stand = await openStand({serve, slots: 4, placement});
  const entry = await FakeEntry.connect(stand, 1);
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
  t.is(stand.target.seen.length, 4);
  await closeStand(stand);
});

test('probe grants a reserved slot when it falls free', async t => {
  const {held, serve, release} = holdAnswers();
  const placement = {kind: 'probe', probesPerTask: 2} as const;
  const stand = await openStand({serve, slots: 1, placement});
  const one = await FakeEntry.connect(stand, 1);
  const two = await FakeEntry.connect(stand, 2);
  one.peer.notify('agent.reserve', {slots: 1});
  await waitUntil(() => one.free === 1);
  one.start();
  two.peer.notify('agent.reserve', {slots: 1});
  await waitUntil(() => held.length === 1);
  t.is(two.free, 0);
  release();
  await waitUntil(() => two.free === 1);
  t.is(one.free, 0);
  await closeStand(stand);
});

test('malformed messages and strangers change nothing', async t => {
  const stand = await openStand({slots: 1});
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 1);
  entry.peer.notify('agent.start', {tasks: [{job: 1}]} as never);
  entry.peer.notify('agent.release', {slots: -1});
  entry.peer.notify('agent.reserve', {slots: 1e9});
  const stranger = await FakeEntry.connect(stand, 0, 1, 'entry-1');
  stranger.start();
  const reply = await stranger.peer.request(
    'agent.query',
    {tasks: []},
    inMs(5000),
  );
  t.is(reply.swap().unsafeCoerce().kind, 'rejected');
  entry.start({job: 'b'});
  t.deepEqual(await entry.awaitFate('b.0'), succeeded);
  t.deepEqual(stand.target.seen, ['b.0']);
  await closeStand(stand);
});
