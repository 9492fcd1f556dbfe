// Stand-in for one executor, as the users' pages describe it. Started by site.mjs as a process of its own.
import {createServer, request as httpRequest} from 'node:http';
import {hrtime} from 'node:process';

const o = JSON.parse(process.argv[2]);
const nowMs = () => Number(hrtime.bigint()) / 1e6;
const bootMs = nowMs();
const born = Date.now();
// The executor's own steady clock starts anew with each life.
const clock = () => Math.floor(nowMs() - bootMs) + 1000;
const holdMaxMs = 1000;
const stopMs = 20;
const maxListed = 500;

let fence = 0;
let sequence = 0;
let endNumber = 0;
let leaseEndsAt = 0;
let state = 'ready';
let finished = [];
const runs = new Map(); // task -> {run, startedAt, workMs, cpu, mem, timer, stopping}
const highestEnded = new Map();
const waiters = new Set();

function report(event) {
  if (process.connected) process.send({at: nowMs(), executor: o.name, life: born, ...event});
}

function end(task, how) {
  const active = runs.get(task);
  if (active === undefined) return;
  clearTimeout(active.timer);
  clearTimeout(active.stopTimer);
  runs.delete(task);
  highestEnded.set(task, Math.max(active.run, highestEnded.get(task) ?? 0));
  finished.push([++endNumber, task, active.run, how, '']);
  report({event: 'end', task, run: active.run, how});
  for (const wake of [...waiters]) wake();
}

function extendLease(deadline) {
  if (typeof deadline !== 'number') return;
  leaseEndsAt = Math.max(leaseEndsAt, Math.min(deadline, clock() + holdMaxMs));
}

/** A case writes what a task does into its spec; any other spec is a short task. */
function readSpec(spec) {
  try {
    const {workMs = 50, cpu = 100, mem = 1} = JSON.parse(spec);
    return {workMs, cpu, mem};
  } catch {
    return {workMs: 50, cpu: 100, mem: 1};
  }
}

function start({task, run, spec, deadline_ms, fencing_token = 0}) {
  if (fencing_token < fence) return [409, {reason: 'fence'}];
  fence = fencing_token;
  const active = runs.get(task);
  if (active?.run === run) return [200, {}];
  if (deadline_ms <= clock()) return [409, {reason: 'late'}];
  extendLease(deadline_ms);
  if (run <= Math.max(highestEnded.get(task) ?? 0, active?.run ?? 0)) {
    return [409, {reason: 'old'}];
  }
  const {workMs, cpu, mem} = readSpec(spec);
  let usedCpu = cpu;
  let usedMem = mem;
  for (const each of runs.values()) {
    usedCpu += each.cpu;
    usedMem += each.mem;
  }
  if (usedCpu > o.room.cpu || usedMem > o.room.mem_mb) return [409, {reason: 'room'}];
  const timer = setTimeout(() => end(task, 'done'), workMs);
  runs.set(task, {run, startedAt: nowMs(), workMs, cpu, mem, timer});
  report({event: 'start', task, run, spec, labels: o.labels, fence: fencing_token});
  return [200, {}];
}

function stop({task, run, fencing_token = 0}) {
  if (fencing_token < fence) return [409, {reason: 'fence'}];
  fence = fencing_token;
  highestEnded.set(task, Math.max(run, highestEnded.get(task) ?? 0));
  const active = runs.get(task);
  if (active?.run === run && active.stopTimer === undefined) {
    clearTimeout(active.timer);
    active.stopTimer = setTimeout(() => end(task, 'stopped'), stopMs);
  }
  return [200, {}];
}

async function hold({fencing_token = 0, acked_upto = 0, deadline_ms, wait_ms = 0}) {
  if (fencing_token < fence) return [409, {reason: 'fence'}];
  fence = fencing_token;
  extendLease(deadline_ms);
  finished = finished.filter(([number]) => number > acked_upto);
  if (finished.length === 0 && wait_ms > 0) {
    await new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(2000, wait_ms));
      waiters.add(wake);
    });
  }
  const running = [...runs].map(([task, {run, startedAt, workMs, cpu}]) => [
    task,
    run,
    '',
    Math.min(99, Math.floor((100 * (nowMs() - startedAt)) / workMs)),
    cpu,
  ]);
  return [200, {running, finished: finished.slice(0, maxListed), born}];
}

function reply(res, status, body) {
  const text = JSON.stringify({clock_ms: clock(), ...body});
  res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
  res.end(text);
}

const server = createServer(async (req, res) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  if (req.method === 'GET') return reply(res, 200, {});
  const expected = req.headers['wasabiring-expect-instance'];
  if (expected !== undefined && expected !== o.id) return reply(res, 421, {});
  let body;
  try {
    body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return reply(res, 400, {});
  }
  if (req.url === '/v1/run-start') return reply(res, ...start(body));
  if (req.url === '/v1/run-stop') return reply(res, ...stop(body));
  if (req.url === '/v1/hold') return reply(res, ...(await hold(body)));
  return reply(res, 404, {});
});

function announce() {
  const body = JSON.stringify({
    backend: o.backend,
    address: `${o.host}:${o.port}`,
    zone: o.zone,
    version: 'v1',
    slots: 8,
    state,
    cold_remaining_ms: 0,
    room: o.room,
    labels: o.labels,
    clock_ms: clock(),
    sequence: ++sequence,
    born,
  });
  const [host, port] = o.agent.split(':');
  const req = httpRequest(
    {
      host,
      port,
      method: 'POST',
      path: `/v1/Instances.Heartbeat/${o.id}`,
      headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
      timeout: 1000,
    },
    res => {
      res.resume();
      if (sequence <= 3) report({event: 'beat', status: res.statusCode, id: o.id, labels: o.labels});
    },
  );
  req.on('timeout', () => req.destroy());
  req.on('error', () => {});
  req.end(body);
}

setInterval(() => {
  if (clock() <= leaseEndsAt) return;
  for (const task of [...runs.keys()]) end(task, 'lapsed');
}, 5);

server.listen(o.port, o.host, () => {
  report({event: 'listening', id: o.id, labels: o.labels});
  // The first heartbeat follows at once; the later ones come about every heartbeat_ms.
  setTimeout(() => {
    announce();
    setInterval(announce, o.heartbeatMs);
  }, o.firstBeatMs ?? 0);
});
process.on('disconnect', () => process.exit(0));
