import test from 'ava';
import {permissionTtlMs, Runner} from '#runner';
import {openLog} from '#telemetry';
import {
  FakeExecutor,
  formatTask,
  sleep,
  startRunner,
  waitUntil,
} from './harness.js';

test('a run is started once there is free capacity, and its end is reported', async t => {
  await using harness = await startRunner();
  const {executor} = harness;
  const dispatcher = await harness.attach('d');
  for (let i = 0; i < 5; i++) dispatcher.place(i + 1, i);
  await waitUntil(() => executor.starts.length === 4);
  await sleep(50);
  t.is(executor.starts.length, 4);
  executor.end(executor.starts[0]!, 'succeeded');
  await waitUntil(() => executor.starts.length === 5);
  await waitUntil(() => dispatcher.ends.length === 1);
  t.deepEqual(dispatcher.ends[0]!.slice(0, 2), [1, 'succeeded']);
});

test('a runner without an executor keeps running', async t => {
  const executor = new FakeExecutor();
  await using runner = new Runner({
    log: openLog('silent', 'agent', 'r'),
    port: executor,
  });
  await sleep(150);
  t.is(runner.info, undefined);
});

test('one run waits at a full executor; further ones are returned at once', async t => {
  await using harness = await startRunner();
  const dispatcher = await harness.attach('d');
  for (let i = 0; i < 7; i++) dispatcher.place(i + 1, i);
  await waitUntil(() => dispatcher.ends.length === 2);
  t.deepEqual(
    dispatcher.ends.map(([ticket, end]) => [ticket, end]),
    [
      [6, 'not-run'],
      [7, 'not-run'],
    ],
  );
  await waitUntil(() => harness.executor.starts.length === 4);
  t.is(harness.runner.runCount, 5);
});

test('the next run of a dispatcher that was idle for longer than its permission is started, not stopped', async t => {
  await using harness = await startRunner();
  const dispatcher = await harness.attach('d');
  dispatcher.place(1);
  await waitUntil(() => harness.executor.starts.length === 1);
  harness.executor.end(harness.executor.starts[0]!, 'succeeded');
  await waitUntil(() => dispatcher.ends.length === 1);
  await sleep(900);
  dispatcher.place(2, 1);
  await waitUntil(() => harness.executor.starts.length === 2);
  await sleep(150);
  t.is(harness.executor.running.size, 1);
});

test('a run that arrives shortly before the permission expires is started under the next one', async t => {
  await using harness = await startRunner();
  const dispatcher = await harness.attach('d');
  dispatcher.place(1);
  await waitUntil(() => harness.executor.starts.length === 1);
  const permittedAt = performance.now();
  harness.executor.end(harness.executor.starts[0]!, 'succeeded');
  await waitUntil(() => dispatcher.ends.length === 1);
  dispatcher.answerDelayMs = 200;
  await sleep(permittedAt + permissionTtlMs - 80 - performance.now());
  dispatcher.place(2, 1);
  await waitUntil(() => harness.executor.starts.length === 2);
  await sleep(300);
  t.is(harness.executor.running.size, 1);
  t.is(dispatcher.ends.length, 1);
});

test('the runs of a dispatcher that answers after the next permission request continue', async t => {
  await using harness = await startRunner();
  const {executor} = harness;
  const dispatcher = await harness.attach('d');
  dispatcher.answerDelayMs = 300;
  dispatcher.place(1);
  await waitUntil(() => executor.starts.length === 1);
  await sleep(3 * permissionTtlMs);
  t.is(executor.running.size, 1);
  t.deepEqual(dispatcher.ends, []);
});

test('the runs of a dispatcher that stops answering are stopped', async t => {
  await using harness = await startRunner();
  const silent = await harness.attach('silent');
  const other = await harness.attach('other');
  silent.place(1);
  other.place(1, 1);
  await waitUntil(() => harness.executor.starts.length === 2);
  silent.permits = false;
  await waitUntil(() => harness.executor.running.size === 1);
  t.is(formatTask([...harness.executor.running.values()][0]!), 'job.0.1');
});

test('a run whose start was not answered can no longer start once it is returned', async t => {
  await using harness = await startRunner();
  const {executor} = harness;
  const dispatcher = await harness.attach('d');
  executor.isDelayingStarts = true;
  dispatcher.place(1);
  await waitUntil(() => dispatcher.ends.length === 1);
  t.is(dispatcher.ends[0]![1], 'unanswered');
  executor.isDelayingStarts = false;
  t.deepEqual(executor.executeStart(executor.late[0]!), {
    kind: 'refused',
    reason: 'outdated',
  });
});

test('after an unanswered renewal the next ones wait only briefly for an end', async t => {
  await using harness = await startRunner();
  const {executor} = harness;
  const dispatcher = await harness.attach('d');
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

test('runs of an executor that stops answering lapse only when its lease has expired', async t => {
  await using harness = await startRunner();
  const {executor} = harness;
  const dispatcher = await harness.attach('d');
  dispatcher.place(1);
  await waitUntil(() => executor.starts.length === 1);
  executor.isSilent = true;
  await waitUntil(() => dispatcher.ends.length === 1);
  t.is(dispatcher.ends[0]![1], 'lapsed');
  t.true(executor.isLapsed);
});

test('a run at the executor that the runner does not know is stopped before any other starts', async t => {
  const orphan = {job: 'old', step: 0, index: 0, run: 7};
  await using harness = await startRunner([orphan]);
  const {executor} = harness;
  const dispatcher = await harness.attach('d');
  t.false(executor.running.has(formatTask(orphan)));
  dispatcher.place(1);
  await waitUntil(() => executor.starts.length === 1);
  t.is(executor.duplicateStarts, 0);
});

test('a dispatcher that attaches again gets the ends it missed and keeps the runs it lists', async t => {
  await using harness = await startRunner();
  const {executor} = harness;
  const before = await harness.attach('d');
  before.place(1, 0);
  before.place(2, 1);
  before.place(3, 2);
  await waitUntil(() => executor.starts.length === 3);
  before.peer.close('test');
  executor.end(executor.running.get('job.0.0')!, 'succeeded');
  await sleep(100);
  const after = await harness.attach('d', 1, [1, 2, 9]);
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

test('a later process of a dispatcher stops the runs of the earlier one', async t => {
  await using harness = await startRunner();
  const before = await harness.attach('d', 1);
  before.place(1);
  await waitUntil(() => harness.executor.starts.length === 1);
  await harness.attach('d', 2);
  await waitUntil(() => harness.executor.running.size === 0);
  t.pass();
});

test('clearing a job stops its runs for other dispatchers, which can no longer place it', async t => {
  await using harness = await startRunner();
  const {executor} = harness;
  const first = await harness.attach('first');
  const second = await harness.attach('second');
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
  t.is(executor.duplicateStarts, 0);
});

test('a run that may not wait is returned by a full target, and another one waits there', async t => {
  await using harness = await startRunner();
  const {executor} = harness;
  const dispatcher = await harness.attach('d');
  for (let i = 0; i < 5; i++) dispatcher.place(i + 1, i);
  await waitUntil(() => executor.starts.length === 4);
  dispatcher.place(6, 5, 1, {mayWait: false, rankMs: -1000});
  await waitUntil(() => dispatcher.ends.length === 1);
  t.deepEqual(dispatcher.ends, [[6, 'not-run', 0]]);
  t.is(harness.runner.runCount, 5);
});

test('a draining runner returns waiting runs and lets the others finish', async t => {
  await using harness = await startRunner();
  const {executor, runner} = harness;
  const dispatcher = await harness.attach('d');
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

// Guards against runs of a killed dispatcher that go on for as long as its next process, or others, extend the lease.
test('the runs of an earlier process of a dispatcher lapse when stops are unanswered, whatever others do', async t => {
  await using site = await startRunner();
  site.executor.isStopping = false;
  site.executor.isLapsing = true;
  const first = await site.attach('a', 1);
  const other = await site.attach('b');
  first.place(1);
  await waitUntil(() => site.executor.running.size === 1);
  first.peer.close('killed');
  await site.attach('a', 2);
  let ticket = 0;
  const placing = setInterval(() => {
    ticket++;
    other.place(ticket, ticket, 1, {job: 'other'});
    for (const ref of [...site.executor.running.values()]) {
      if (ref.job === 'other') site.executor.end(ref, 'succeeded');
    }
  }, 50);
  await waitUntil(() => {
    site.executor.expireLease();
    return !site.executor.running.has('job.0.0');
  });
  const startsBefore = site.executor.starts.length;
  await waitUntil(() => site.executor.starts.length > startsBefore);
  clearInterval(placing);
  t.true(site.executor.lapses > 0);
});

test('a job is cleared for the next process of a dispatcher once the runs of the earlier one have ended', async t => {
  await using site = await startRunner();
  const first = await site.attach('a', 1);
  first.place(1);
  await waitUntil(() => site.executor.running.size === 1);
  const deadline = performance.now() + 5000;
  const clearing = {job: 'job', dispatcher: 'a', life: 2};
  const cleared = await first.peer.request('runner.clear', clearing, deadline);
  t.true(cleared.isRight());
  t.is(site.executor.running.size, 0);
  // A message of the earlier process may arrive after that.
  first.place(2, 1);
  await waitUntil(() => first.ends.length === 2);
  t.deepEqual(first.ends[1], [2, 'not-run', 0]);
});

// Guards against a job that no dispatcher can place, as it was cleared for a process that has ended.
test('a job that was cleared for a process is open to others once a later process of its dispatcher attaches', async t => {
  await using site = await startRunner();
  const first = await site.attach('a', 1);
  const deadline = performance.now() + 5000;
  await first.peer.request('runner.clear', {job: 'job'}, deadline);
  const other = await site.attach('b');
  other.place(1);
  await waitUntil(() => other.ends.length === 1);
  t.deepEqual(other.ends[0], [1, 'not-run', 0]);
  const next = await site.attach('a', 2);
  other.place(2, 1);
  next.place(1, 2);
  await waitUntil(() => site.executor.running.size === 2);
  t.is(other.ends.length, 1);
});
