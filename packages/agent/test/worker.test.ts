import type {ServerResponse} from 'node:http';
import test from 'ava';
import {monotonicClock} from '#model';
import {Worker} from '#agent';
import {countSlots} from '../src/capacity.js';
import {FakeTarget, silentRuntime, waitUntil} from './harness.js';

interface Usage {
  readonly memoryMb: number;
  readonly cores: number;
  readonly ageMs: number;
}

const request = {
  job: 'a',
  task: 0,
  payload: 'p',
  demand: {cores: 1, memoryMb: 100, accelerators: 0},
  maxTaskMs: 60_000,
};

/**
 * Opens a worker whose task runs until it is stopped. It reports the usages one
 * by one; the first `outdatedReports` reports are empty and a minute old.
 */
async function openWorker(
  usages: Usage[],
  orphans: string[] = [],
  outdatedReports = 0,
) {
  let outdatedReportsLeft = outdatedReports;
  const running: ServerResponse[] = [];
  const tasks = new Set(orphans);
  const target = await new FakeTarget((_, response, {method, url}) => {
    if (url === '/tasks') {
      tasks.add('a.0');
      running.push(response);
      return;
    }
    if (method === 'DELETE') {
      tasks.delete(url!.slice('/tasks/'.length));
      response.end('{}');
      const task = running.shift();
      task?.writeHead(409).end('{"error":"stopped"}');
      return;
    }
    if (url !== '/usage') return void response.end('{}');
    if (outdatedReportsLeft > 0) {
      outdatedReportsLeft -= 1;
      return void response.end('{"ageMs":60000,"tasks":[]}');
    }
    const usage = usages.length > 1 ? usages.shift() : usages[0];
    const report = [...tasks].map(key => {
      const [job, task] = key.split('.');
      return {job, task: Number(task), accelerators: 0, ...usage};
    });
    response.end(JSON.stringify({ageMs: 0, tasks: report}));
  }).open();
  let aheadMs = 0;
  const worker = new Worker({
    url: target.url,
    clock: {now: () => monotonicClock.now() + aheadMs},
    log: silentRuntime.log,
    responseTimeoutMs: 60_000,
    guardIntervalMs: 2,
  });
  return {
    target,
    worker,
    running,
    advanceClock: (ms: number) => (aheadMs += ms),
    count: (command: string) =>
      target.seen.filter(each => each === command).length,
    close: async () => {
      await worker[Symbol.asyncDispose]();
      await target[Symbol.asyncDispose]();
    },
  };
}

const withinDemand = {memoryMb: 100, cores: 1, ageMs: 0};

test('a worker has as many slots as tasks of the largest demand fit', t => {
  const capacity = {
    kind: 'worker',
    cores: 16,
    memoryMb: 1024,
    accelerators: 0,
  } as const;
  const small = {cores: 1, memoryMb: 100, accelerators: 0};
  t.is(countSlots(capacity, [small]), 10);
  t.is(countSlots(capacity, [small, {...small, cores: 4}]), 4);
  t.is(countSlots(capacity, [{...small, accelerators: 1}]), 0);
});

test('a task that keeps using too much memory is throttled, checkpointed and stopped', async t => {
  const overDemand = {memoryMb: 1000, cores: 1};
  const harness = await openWorker([
    {...overDemand, ageMs: 900},
    {...overDemand, ageMs: 0},
  ]);
  const outcome = await harness.worker.run(
    request,
    new AbortController().signal,
  );
  t.deepEqual(outcome, {
    kind: 'failed',
    detail: 'stopped: uses 1000 MB of memory of 100 MB',
  });
  const order = ['/throttle', '/checkpoint', ''].map(action =>
    harness.target.seen.indexOf(
      `${action === '' ? 'DELETE' : 'POST'} /tasks/a.0${action}`,
    ),
  );
  t.deepEqual(
    order,
    [...order].sort((a, b) => a - b),
  );
  t.false(order.includes(-1));
  await harness.close();
});

test('a task within its demand keeps running and its lease is renewed', async t => {
  const harness = await openWorker([withinDemand]);
  const abort = new AbortController();
  const outcome = harness.worker.run(request, abort.signal);
  await waitUntil(() => harness.running.length === 1);
  harness.advanceClock(1500);
  await waitUntil(() => harness.count('POST /tasks/a.0/lease') === 1);
  harness.advanceClock(1500);
  await waitUntil(() => harness.count('POST /tasks/a.0/lease') === 2);
  t.is(harness.count('POST /tasks/a.0/throttle'), 0);
  abort.abort();
  t.deepEqual(await outcome, {kind: 'stopped'});
  t.is(harness.count('DELETE /tasks/a.0'), 1);
  await harness.close();
});

test('a lost connection to the worker gives an unknown outcome and the task is stopped', async t => {
  const harness = await openWorker([withinDemand]);
  const outcome = harness.worker.run(request, new AbortController().signal);
  await waitUntil(() => harness.running.length === 1);
  harness.running.pop()!.socket!.destroy();
  t.is((await outcome).kind, 'unknown');
  t.is(harness.count('DELETE /tasks/a.0'), 1);
  await harness.close();
});

test('tasks of an earlier incarnation are stopped before the worker counts as healthy', async t => {
  const harness = await openWorker([withinDemand], ['old.1', 'old.2']);
  t.false(await harness.worker.checkHealth());
  t.is(harness.count('DELETE /tasks/old.1'), 1);
  t.true(await harness.worker.checkHealth());
  await harness.close();
});

test('a report from before the agent started does not make the worker healthy', async t => {
  const harness = await openWorker([withinDemand], ['old.1'], 2);
  t.false(await harness.worker.checkHealth());
  t.false(await harness.worker.checkHealth());
  t.is(harness.count('DELETE /tasks/old.1'), 0);
  t.false(await harness.worker.checkHealth());
  t.is(harness.count('DELETE /tasks/old.1'), 1);
  t.true(await harness.worker.checkHealth());
  await harness.close();
});
