import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {request} from 'undici';
import {
  defaultBehaviour,
  type JournalLine,
  JournalWriter,
  openStandIn,
  readJournal,
} from '#bench';

const executor = {kind: 'executor', slots: 1, maxConnections: 4} as const;
const worker = {
  kind: 'worker',
  cores: 4,
  memoryMb: 1024,
  accelerators: 0,
} as const;

async function openOne(capacity: typeof executor | typeof worker) {
  const lines: JournalLine[] = [];
  const standIn = await openStandIn(
    {target: 't', port: 0, capacity, temper: defaultBehaviour, usageLagMs: 5},
    line => lines.push(line),
  );
  return {standIn, lines};
}

async function requestJson(
  url: string,
  body?: unknown,
  method: 'POST' | 'GET' | 'DELETE' = 'POST',
) {
  const response = await request(url, {
    method,
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return {
    status: response.statusCode,
    body: (await response.body.json()) as never,
  };
}

const createTaskBody = (task: number, payload: unknown, leaseMs = 60_000) => ({
  job: 'j',
  task,
  payload,
  leaseMs,
  cores: 2,
  memoryMb: 64,
  accelerators: 0,
});

async function waitForStart(lines: readonly JournalLine[], count: number) {
  while (lines.length < count)
    await new Promise(resolve => setImmediate(resolve));
}

test('an executor echoes, fails on request and journals each start', async t => {
  const {standIn, lines} = await openOne(executor);
  const run = (task: number, payload: unknown) =>
    requestJson(`${standIn.url}/run`, {job: 'j', task, payload});
  t.deepEqual(await run(0, {sleepMs: 1, echo: 7}), {
    status: 200,
    body: {result: {echo: 7}} as never,
  });
  t.is((await run(1, {fail: true})).status, 500);
  t.deepEqual(lines, [
    {job: 'j', task: 0, target: 't'},
    {job: 'j', task: 1, target: 't'},
  ]);
  await standIn[Symbol.asyncDispose]();
});

test('an executor without a free slot refuses a task and starts nothing', async t => {
  const {standIn, lines} = await openOne(executor);
  const first = requestJson(`${standIn.url}/run`, {
    job: 'j',
    task: 0,
    payload: {sleepMs: 60_000},
  });
  await waitForStart(lines, 1);
  t.is(
    (await requestJson(`${standIn.url}/run`, {job: 'j', task: 1, payload: {}}))
      .status,
    503,
  );
  t.is(lines.length, 1);
  first.catch(() => {});
  await standIn[Symbol.asyncDispose]();
});

test('a worker task stops when its lease expires', async t => {
  const {standIn} = await openOne(worker);
  const ended = await requestJson(
    `${standIn.url}/tasks`,
    createTaskBody(0, {sleepMs: 60_000}, 1),
  );
  t.deepEqual(ended, {status: 409, body: {error: 'stopped'} as never});
  await standIn[Symbol.asyncDispose]();
});

test('a worker reports usage, throttles, checkpoints and stops', async t => {
  const {standIn, lines} = await openOne(worker);
  const ended = requestJson(
    `${standIn.url}/tasks`,
    createTaskBody(0, {sleepMs: 60_000, cores: 4}),
  );
  await waitForStart(lines, 1);
  const read = async () =>
    (
      (await requestJson(`${standIn.url}/usage`, undefined, 'GET')).body as {
        tasks: {cores: number}[];
      }
    ).tasks;
  while ((await read()).length === 0);
  t.is((await read())[0]!.cores, 4);
  await requestJson(`${standIn.url}/tasks/j.0/throttle`, {cores: 0});
  const {checkpoint} = (
    await requestJson(`${standIn.url}/tasks/j.0/checkpoint`, {})
  ).body;
  t.true((checkpoint as {remainingMs: number}).remainingMs > 0);
  t.is(
    (await requestJson(`${standIn.url}/tasks`, createTaskBody(1, {}))).status,
    200,
  );
  t.is(
    (
      await requestJson(`${standIn.url}/tasks`, {
        ...createTaskBody(2, {}),
        cores: 3,
      })
    ).status,
    503,
  );
  t.is(
    (await requestJson(`${standIn.url}/tasks/j.0`, undefined, 'DELETE')).status,
    200,
  );
  t.deepEqual((await ended).body, {error: 'stopped', checkpoint} as never);
  await standIn[Symbol.asyncDispose]();
});

test('a journal can be read back; a missing one is empty', async t => {
  const path = join(mkdtempSync(join(tmpdir(), 'journal-')), 'a', 'journal');
  const writer = new JournalWriter(path);
  writer.append({job: 'a', task: 0, target: 't'});
  await writer[Symbol.asyncDispose]();
  t.deepEqual(readJournal(path), [{job: 'a', task: 0, target: 't'}]);
  t.deepEqual(readJournal(path + '.none'), []);
});
