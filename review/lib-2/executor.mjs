import {randomBytes} from 'node:crypto';
import {createServer, request} from 'node:http';

/** How often an executor announces itself, in ms, as the site file states it. */
const heartbeatMs = 1500;
/** The longest lease that an executor grants, in ms: `hold_max_ms` of the site. */
const maxLeaseMs = 1000;
const maxWaitMs = 2000;

/**
 * An executor as the page PROTOCOL describes it: it starts, stops and reports runs under a lease and a
 * fence. `onStart` and `onEnd` are told of each run with the time of `performance.now()`.
 */
export class Executor {
  constructor({name, service, zone, control, onStart, onEnd}) {
    Object.assign(this, {name, service, zone, control, onStart, onEnd});
    this.labels = ['a', 'r1-1'];
    this.room = {cpu: 64_000, mem_mb: 131_072, gpu: 0};
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.born = Date.now();
    this.clockBase = performance.now() - 1000;
    this.sequence = 0;
    this.fence = 0;
    this.state = 'ready';
    this.leaseEndsAt = 0;
    this.runs = new Map();
    this.highestEnded = new Map();
    this.ended = [];
    this.endCount = 0;
    this.waiters = new Set();
    this.server = createServer((req, res) => this.answer(req, res));
    this.server.keepAliveTimeout = 0;
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.timer = setInterval(() => this.expire(), 5);
    this.heartbeats = setInterval(() => this.announce(), heartbeatMs);
  }

  close() {
    clearInterval(this.timer);
    clearInterval(this.heartbeats);
    for (const task of [...this.runs.keys()]) this.drop(task, 'closed');
    this.server.closeAllConnections();
    this.server.close();
  }

  get clock() {
    return Math.floor(performance.now() - this.clockBase);
  }

  /** Announces the executor to the agent beside it; a lost announcement is followed by the next one. */
  announce() {
    const body = JSON.stringify({
      backend: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      room: this.room,
      labels: this.labels,
      clock_ms: this.clock,
      born: this.born,
      sequence: ++this.sequence,
    });
    const [host, port] = this.control.split(':');
    const req = request({
      host,
      port,
      method: 'POST',
      path: `/v1/Instances.Heartbeat/${this.id}`,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
      agent: false,
      timeout: 1000,
    });
    req.on('response', res => res.resume());
    req.on('timeout', () => req.destroy());
    req.on('error', () => {});
    req.end(body);
  }

  answer(req, res) {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('error', () => {});
    req.on('end', () => {
      const expected = req.headers['wasabiring-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        this.reply(res, 421, {});
        return;
      }
      let body;
      try {
        body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
      } catch {
        this.reply(res, 400, {});
        return;
      }
      switch (req.url) {
        case '/v1/run-start':
          this.reply(res, ...this.start(body));
          return;
        case '/v1/run-stop':
          this.reply(res, ...this.stop(body));
          return;
        case '/v1/hold':
          this.hold(res, body);
          return;
        default:
          this.reply(res, 404, {});
      }
    });
  }

  /** Accepts a fence, unless a higher one was seen. */
  isFenced({fencing_token: fence = 0}) {
    if (fence < this.fence) return true;
    this.fence = fence;
    return false;
  }

  extend(deadline) {
    if (deadline === undefined) return;
    const longest = this.clock + maxLeaseMs;
    this.leaseEndsAt = Math.max(this.leaseEndsAt, Math.min(deadline, longest));
  }

  start(body) {
    const {task, run, spec, deadline_ms: deadline} = body;
    if (this.isFenced(body)) return [409, {reason: 'fence'}];
    if (deadline <= this.clock) return [409, {reason: 'late'}];
    this.extend(deadline);
    const present = this.runs.get(task);
    if (present?.run === run) return [200, {}];
    const highest = Math.max(this.highestEnded.get(task) ?? 0, present?.run ?? 0);
    if (run <= highest) return [409, {reason: 'old'}];
    const {workMs, cpu} = JSON.parse(spec);
    let used = 0;
    for (const each of this.runs.values()) used += each.cpu;
    if (used + cpu > this.room.cpu) return [409, {reason: 'room'}];
    const timer = setTimeout(() => this.end(task, 'done'), workMs);
    this.runs.set(task, {run, cpu, workMs, timer, startedAt: performance.now()});
    this.onStart({executor: this.name, task, run, spec, at: performance.now()});
    return [200, {}];
  }

  stop(body) {
    const {task, run} = body;
    if (this.isFenced(body)) return [409, {reason: 'fence'}];
    const highest = this.highestEnded.get(task) ?? 0;
    this.highestEnded.set(task, Math.max(run, highest));
    if (this.runs.get(task)?.run === run) this.end(task, 'stopped');
    return [200, {}];
  }

  hold(res, body) {
    if (this.isFenced(body)) {
      this.reply(res, 409, {reason: 'fence'});
      return;
    }
    this.extend(body.deadline_ms);
    this.ended = this.ended.filter(([number]) => number > body.acked_upto);
    const waitMs = Math.min(maxWaitMs, body.wait_ms ?? 0);
    if (this.ended.length > 0 || waitMs === 0) {
      this.report(res);
      return;
    }
    const wake = () => {
      clearTimeout(timer);
      this.waiters.delete(wake);
      this.report(res);
    };
    const timer = setTimeout(wake, waitMs);
    this.waiters.add(wake);
  }

  report(res) {
    const running = [...this.runs].map(([task, {run, workMs, startedAt, cpu}]) => {
      const share = (performance.now() - startedAt) / workMs;
      return [task, run, '', Math.min(99, Math.floor(100 * share)), cpu];
    });
    const finished = this.ended.slice(0, 500);
    this.reply(res, 200, {born: this.born, running, finished});
  }

  end(task, how) {
    const {run} = this.runs.get(task);
    const highest = this.highestEnded.get(task) ?? 0;
    this.highestEnded.set(task, Math.max(run, highest));
    this.ended.push([++this.endCount, task, run, how, '']);
    this.drop(task, how);
    for (const wake of [...this.waiters]) wake();
  }

  drop(task, how) {
    const {run, timer} = this.runs.get(task);
    clearTimeout(timer);
    this.runs.delete(task);
    this.onEnd({executor: this.name, task, run, how, at: performance.now()});
  }

  expire() {
    if (this.clock < this.leaseEndsAt) return;
    for (const task of [...this.runs.keys()]) this.end(task, 'lapsed');
  }

  reply(res, status, body) {
    const text = JSON.stringify({clock_ms: this.clock, ...body});
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }
}
