import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {runCommand} from './command-runner.js';

async function serveHttp(
  t: ExecutionContext,
  listener: RequestListener,
): Promise<string> {
  const server = createServer(listener);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function respondWith(status: number, body: unknown): RequestListener {
  return (_req, res) => {
    res.statusCode = status;
    res.end(JSON.stringify(body));
  };
}

const submit = (entry: string) =>
  `job submit --entry ${entry} --service tally --team crossings --key k/1 --payload {"x":1} --payload 2`;

test('submit sends the key, the team and the tasks and prints the complete answer', async t => {
  let request = '';
  const entry = await serveHttp(t, async (req, res) => {
    for await (const chunk of req) request += chunk;
    const {'idempotency-key': key, 'wasabiring-team': team} = req.headers;
    res.end(
      JSON.stringify({job: req.url, status: 'complete', results: [key, team]}),
    );
  });
  const {code, out} = await runCommand(
    `${submit(entry)} --json --unrepeatable`,
  );
  t.is(code, 0);
  t.deepEqual(JSON.parse(request), {
    deadlineMs: 5000,
    unrepeatable: true,
    tasks: [{payload: {x: 1}}, {payload: 2}],
  });
  t.deepEqual(JSON.parse(out), {
    key: 'k/1',
    job: '/v1/services/tally/jobs',
    status: 'complete',
    results: ['k/1', 'crossings'],
  });
});

test('a submission whose connection breaks is resent with the same key', async t => {
  const keys: unknown[] = [];
  const entry = await serveHttp(t, (req, res) => {
    keys.push(req.headers['idempotency-key']);
    if (keys.length === 1) return req.socket.destroy();
    return res.end('{"status":"complete","results":[]}');
  });
  t.is((await runCommand(submit(entry))).code, 0);
  t.deepEqual(keys, ['k/1', 'k/1']);
});

test('a submission that is never answered exits 7 and prints the key', async t => {
  const entry = await serveHttp(t, req => req.socket.destroy());
  const {code, err} = await runCommand(
    `${submit(entry)} --deadline-ms 0 --timeout-ms 2000`,
  );
  t.is(code, 7);
  t.regex(err, /^unanswered: .*the job's key is k\/1/);
});

test('a key that is not valid in an HTTP header is refused without a retry', async t => {
  for (const key of ['two\nlines', 'ключ']) {
    const {code, err} = await runCommand([
      ...['job', 'submit', '--entry', 'http://127.0.0.1:1', '--key', key],
      ...['--service', 's', '--team', 't', '--payload', '1'],
    ]);
    t.is(code, 5);
    t.regex(err, /^refused: .*invalid/);
  }
});

const answers: ReadonlyArray<readonly [number, object, number]> = [
  [500, {status: 'failed', reason: 'task-failed'}, 6],
  [504, {status: 'failed', reason: 'unknown'}, 7],
  [503, {status: 'not-run', reason: 'draining', retryAfterMs: 100}, 5],
  [404, {status: 'absent'}, 5],
  [200, {status: 'running', tasks: 2, ended: 1}, 0],
  [200, [], 5],
];

for (const [status, body, expected] of answers) {
  test(`the answer ${JSON.stringify(body)} exits ${expected}`, async t => {
    const entry = await serveHttp(t, respondWith(status, body));
    const {code} = await runCommand(
      `job get k --team crossings --entry ${entry}`,
    );
    t.is(code, expected);
  });
}

test('cancel percent-encodes the key in the path', async t => {
  let seen = '';
  const entry = await serveHttp(t, (req, res) => {
    seen = `${req.method} ${req.url}`;
    res.end('{"status":"failed","reason":"cancelled"}');
  });
  const {code} = await runCommand(`job cancel a/b --team t --entry ${entry}`);
  t.is(code, 6);
  t.is(seen, 'DELETE /v1/jobs/a%2Fb');
});

test('status shows the histograms of an entry', async t => {
  const histograms = [
    {team: 'crossings', service: 'tally', measure: 'response', count: 3},
  ];
  const entry = await serveHttp(t, respondWith(200, {queued: 1, histograms}));
  const {code, out} = await runCommand(`status --entry ${entry}`);
  t.is(code, 0);
  t.regex(out, /queued: 1/);
  t.regex(out, /crossings +tally +response +3/);
});

test('a job without tasks, an invalid URL and an invalid number are usage errors', async t => {
  const common = 'job submit --service s --team t';
  t.is((await runCommand(`${common} --entry http://127.0.0.1:1`)).code, 2);
  t.is((await runCommand(`${common} --entry ftp://h --payload 1`)).code, 2);
  t.is(
    (await runCommand('job get k --team t --entry http://h --timeout-ms -1'))
      .code,
    2,
  );
});
