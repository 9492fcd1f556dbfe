import test from 'ava';
import {permissionMs, Runner} from '#runner';
import {openLog} from '#telemetry';
import {
  FakeExecutor,
  formatTask,
  sleep,
  startRunner,
  waitUntil,
} from './stand.js';

test('a run is started once room is there, and its end is told', async t => {
  await using stand = await startRunner();
  const {executor} = stand;
  const dispatcher = await stand.attach('d');
  for (let i = 0; i < 5; i++) dispatcher.place(i + 1, i);
  await waitUntil(() => executor.starts.length === 4);
  await sleep(50);
  t.is(executor.starts.length, 4);
  executor.end(executor.starts[0]!, 'succeeded');
  await waitUntil(() => executor.starts.length === 5);
  await waitUntil(() => dispatcher.ends.length === 1);
  t.deepEqual(dispatcher.ends[0]!.slice(0, 2), [1, 'succeeded']);
});

test('a runner without an executor goes on', async t => {
  const executor = new FakeExecutor();
  await using runner = new Runner({
    log: openLog('silent', 'agent', 'r'),
    port: executor,
  });
  await sleep(150);
  t.is(runner.info, undefined);
});

test('one run waits at a full executor; more are given back at once', async t => {
  await using stand = await startRunner();
  const dispatcher = await stand.attach('d');
  for (let i = 0; i < 7; i++) dispatcher.place(i + 1, i);
  await waitUntil(() => dispatcher.ends.length === 2);
  t.deepEqual(
    dispatcher.ends.map(([ticket, end]) => [ticket, end]),
    [
      [6, 'not-run'],
      [7, 'not-run'],
    ],
  );
  await waitUntil(() => stand.executor.starts.length === 4);
  t.is(stand.runner.runCount, 5);
});

test('a dispatcher that was idle for longer than its permission has its next run begun, not stopped', async t => {
  await using stand = await startRunner();
  const dispatcher = await stand.attach('d');
  dispatcher.place(1);
  await waitUntil(() => stand.executor.starts.length === 1);
  stand.executor.end(stand.executor.starts[0]!, 'succeeded');
  await waitUntil(() => dispatcher.ends.length === 1);
  await sleep(900);
  dispatcher.place(2, 1);
  await waitUntil(() => stand.executor.starts.length === 2);
  await sleep(150);
  t.is(stand.executor.running.size, 1);
});

test('a run that comes when little of the permission is left is begun under the next one', async t => {
  await using stand = await startRunner();
  const dispatcher = await stand.attach('d');
  dispatcher.place(1);
  await waitUntil(() => stand.executor.starts.length === 1);
  const permittedAt = performance.now();
  stand.executor.end(stand.executor.starts[0]!, 'succeeded');
  await waitUntil(() => dispatcher.ends.length === 1);
  dispatcher.answersAfterMs = 200;
  await sleep(permittedAt + permissionMs - 80 - performance.now());
  dispatcher.place(2, 1);
  await waitUntil(() => stand.executor.starts.length === 2);
  await sleep(300);
  t.is(stand.executor.running.size, 1);
  t.is(dispatcher.ends.length, 1);
});

test('the runs of a dispatcher that answers later than it is asked anew go on', async t => {
  await using stand = await startRunner();
  const {executor} = stand;
  const dispatcher = await stand.attach('d');
  dispatcher.answersAfterMs = 300;
  dispatcher.place(1);
  await waitUntil(() => executor.starts.length === 1);
  await sleep(3 * permissionMs);
  t.is(executor.running.size, 1);
  t.deepEqual(dispatcher.ends, []);
});

test('the runs of a dispatcher that falls silent are stopped', async t => {
  await using stand = await startRunner();
  const silent = await stand.attach('silent');
  const other = await stand.attach('other');
  silent.place(1);
  other.place(1, 1);
  await waitUntil(() => stand.executor.starts.length === 2);
  silent.permits = false;
  await waitUntil(() => stand.executor.running.size === 1);
  t.is(formatTask([...stand.executor.running.values()][0]!), 'job.0.1');
});

test('an order left unanswered is made impossible before it is given back', async t => {
  await using stand = await startRunner();
  const {executor} = stand;
  const dispatcher = await stand.attach('d');
  executor.leavesStarts = true;
  dispatcher.place(1);
  await waitUntil(() => dispatcher.ends.length === 1);
  t.is(dispatcher.ends[0]![1], 'unanswered');
  executor.leavesStarts = false;
  t.deepEqual(executor.carryOut(executor.late[0]!), {
    kind: 'refused',
    reason: 'outdated',
  });
});

test('after a question that was not answered the next ones wait for a short time only', async t => {
  await using stand = await startRunner();
  const {executor} = stand;
  const dispatcher = await stand.attach('d');
  dispatcher.place(1);
  await waitUntil(() => executor.waits.at(-1)! > 100);
  executor.isSilent = true;
  await sleep(60);
  executor.isSilent = false;
  const asked = executor.waits.length;
  await waitUntil(() => executor.waits.length > asked + 5);
  const later = executor.waits.slice(asked + 1);
  t.true(later.every(waitMs => waitMs <= 30));
  t.is(executor.running.size, 1);
});

test('runs of an executor that falls silent are given up only when its lease is over', async t => {
  await using stand = await startRunner();
  const {executor} = stand;
  const dispatcher = await stand.attach('d');
  dispatcher.place(1);
  await waitUntil(() => executor.starts.length === 1);
  executor.isSilent = true;
  await waitUntil(() => dispatcher.ends.length === 1);
  t.is(dispatcher.ends[0]![1], 'lapsed');
  t.true(executor.isLapsed);
});

test('a run that the executor has and nobody here knows is stopped before anything starts', async t => {
  const stray = {job: 'old', step: 0, index: 0, run: 7};
  await using stand = await startRunner([stray]);
  const {executor} = stand;
  const dispatcher = await stand.attach('d');
  t.false(executor.running.has(formatTask(stray)));
  dispatcher.place(1);
  await waitUntil(() => executor.starts.length === 1);
  t.is(executor.doubles, 0);
});

test('a dispatcher that attaches anew learns what has ended and keeps what it counts on', async t => {
  await using stand = await startRunner();
  const {executor} = stand;
  const before = await stand.attach('d');
  before.place(1, 0);
  before.place(2, 1);
  before.place(3, 2);
  await waitUntil(() => executor.starts.length === 3);
  before.peer.close('test');
  executor.end(executor.running.get('job.0.0')!, 'succeeded');
  await sleep(100);
  const after = await stand.attach('d', 1, [1, 2, 9]);
  t.deepEqual(
    after.ends.map(([ticket, end]) => [ticket, end]),
    [
      [1, 'succeeded'],
      [9, 'not-run'],
    ],
  );
  await waitUntil(() => executor.running.size === 1);
  t.true(executor.running.has('job.0.1'));
});

test('a later life of a dispatcher ends the runs of the one before', async t => {
  await using stand = await startRunner();
  const before = await stand.attach('d', 1);
  before.place(1);
  await waitUntil(() => stand.executor.starts.length === 1);
  await stand.attach('d', 2);
  await waitUntil(() => stand.executor.running.size === 0);
  t.pass();
});

test('clearing a job ends what others run of it and bars them', async t => {
  await using stand = await startRunner();
  const {executor} = stand;
  const first = await stand.attach('first');
  const second = await stand.attach('second');
  first.place(1);
  await waitUntil(() => executor.starts.length === 1);
  const deadline = performance.now() + 2000;
  const cleared = await second.peer.request(
    'runner.clear',
    {job: 'job'},
    deadline,
  );
  t.true(cleared.isRight());
  t.is(executor.running.size, 0);
  first.place(2, 0, 2);
  await waitUntil(() => first.ends.length === 2);
  t.is(first.ends[1]![1], 'not-run');
  second.place(1, 0, 2);
  await waitUntil(() => executor.running.size === 1);
  t.is(executor.doubles, 0);
});

test('a runner that drains gives back what waits and lets the rest end', async t => {
  await using stand = await startRunner();
  const {executor, runner} = stand;
  const dispatcher = await stand.attach('d');
  for (let i = 0; i < 5; i++) dispatcher.place(i + 1, i);
  await waitUntil(() => executor.starts.length === 4);
  const drained = runner.drain();
  await waitUntil(() => dispatcher.ends.length === 1);
  t.is(dispatcher.ends[0]![1], 'not-run');
  for (const ref of [...executor.running.values()]) {
    executor.end(ref, 'succeeded');
  }
  await drained;
  await waitUntil(() => dispatcher.ends.length === 5);
  t.is(runner.runCount, 0);
});
