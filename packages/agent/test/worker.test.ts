import type {ServerResponse} from 'node:http';
import test from 'ava';
import {monotonicClock} from '#model';
import {Worker} from '#agent';
import {countSlots} from '../src/capacity.js';
import {FakeTarget, quiet, waitUntil} from './stand.js';

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
 * A worker whose task runs until it is stopped, and that reports the usages one
 * by one, the first `blankReports` reports as taken a minute ago, before any task.
 */
async function openWorker(
  usages: Usage[],
  strangers: string[] = [],
  blankReports = 0,
) {
  let blanksLeft = blankReports;
  const running: ServerResponse[] = [];
  const tasks = new Set(strangers);
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
    if (blanksLeft > 0) {
      blanksLeft -= 1;
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
    log: quiet.log,
    answerTimeoutMs: 60_000,
    guardIntervalMs: 2,
  });
  return {
    target,
    worker,
    running,
    jump: (ms: number) => (aheadMs += ms),
    count: (command: string) =>
      target.seen.filter(each => each === command).length,
    close: async () => {
      await worker[Symbol.asyncDispose]();
      await target[Symbol.asyncDispose]();
    },
  };
}

const modest = {memoryMb: 100, cores: 1, ageMs: 0};

test('a worker has as many slots as tasks of the greatest demand fit', t => {
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
  const greedy = {memoryMb: 1000, cores: 1};
  const stand = await openWorker([
    {...greedy, ageMs: 900},
    {...greedy, ageMs: 0},
  ]);
  const outcome = await stand.worker.run(request, new AbortController().signal);
  t.deepEqual(outcome, {
    kind: 'failed',
    detail: 'stopped: uses 1000 MB of memory of 100 MB',
  });
  const order = ['/throttle', '/checkpoint', ''].map(action =>
    stand.target.seen.indexOf(
      `${action === '' ? 'DELETE' : 'POST'} /tasks/a.0${action}`,
    ),
  );
  t.deepEqual(
    order,
    [...order].sort((a, b) => a - b),
  );
  t.false(order.includes(-1));
  await stand.close();
});

test('a task within its demand runs on under a lease that is renewed', async t => {
  const stand = await openWorker([modest]);
  const abort = new AbortController();
  const outcome = stand.worker.run(request, abort.signal);
  await waitUntil(() => stand.running.length === 1);
  stand.jump(1500);
  await waitUntil(() => stand.count('POST /tasks/a.0/lease') === 1);
  stand.jump(1500);
  await waitUntil(() => stand.count('POST /tasks/a.0/lease') === 2);
  t.is(stand.count('POST /tasks/a.0/throttle'), 0);
  abort.abort();
  t.deepEqual(await outcome, {kind: 'stopped'});
  t.is(stand.count('DELETE /tasks/a.0'), 1);
  await stand.close();
});

test('a worker that drops the connection of a task leaves an unknown fate and is told to stop it', async t => {
  const stand = await openWorker([modest]);
  const outcome = stand.worker.run(request, new AbortController().signal);
  await waitUntil(() => stand.running.length === 1);
  stand.running.pop()!.socket!.destroy();
  t.is((await outcome).kind, 'unknown');
  t.is(stand.count('DELETE /tasks/a.0'), 1);
  await stand.close();
});

test('tasks of an earlier life of the agent are stopped before the worker counts as free', async t => {
  const stand = await openWorker([modest], ['old.1', 'old.2']);
  t.false(await stand.worker.checkHealth());
  t.is(stand.count('DELETE /tasks/old.1'), 1);
  t.true(await stand.worker.checkHealth());
  await stand.close();
});

test('a report from before the agent started does not show the worker free', async t => {
  const stand = await openWorker([modest], ['old.1'], 2);
  t.false(await stand.worker.checkHealth());
  t.false(await stand.worker.checkHealth());
  t.is(stand.count('DELETE /tasks/old.1'), 0);
  t.false(await stand.worker.checkHealth());
  t.is(stand.count('DELETE /tasks/old.1'), 1);
  t.true(await stand.worker.checkHealth());
  await stand.close();
});
