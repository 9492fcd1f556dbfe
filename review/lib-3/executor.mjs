// A sound executor as PROTOCOL.md describes it: starts, stops, leases, lists of runs, heartbeats.
import {randomBytes} from 'node:crypto';
import http from 'node:http';

const tickMs = 5;
const rememberedEnds = 500;

export class Executor {
  #server;
  #options;
  #fence = 0;
  #runs = new Map();
  #highest = new Map();
  #finished = [];
  #count = 0;
  #deadline = 0;
  #waiters = new Set();
  #sequence = 0;
  #timers = [];
  id = `i-${randomBytes(4).toString('hex')}`;
  born = Date.now();
  state = 'ready';
  /** Share of the orders (starts and stops) that get no answer and are carried out 2 to 12 s later. */
  lateShare = 0;

  constructor(options) {
    this.#options = options;
  }

  /** Options: host, port, control (host:port of the agent), backend, zone, room, labels, heartbeatMs, record. */
  static async start(options) {
    const executor = new Executor(options);
    executor.#server = http.createServer((req, res) => void executor.#answer(req, res));
    executor.#server.keepAliveTimeout = 0;
    await new Promise((resolve, reject) => {
      executor.#server.once('error', reject);
      executor.#server.listen(options.port, options.host, resolve);
    });
    executor.#timers.push(
      setInterval(() => executor.#expire(), tickMs),
      setInterval(() => void executor.#announce(), options.heartbeatMs),
    );
    void executor.#announce();
    return executor;
  }

  get clock() {
    return Math.floor(performance.now()) + 100_000;
  }

  get running() {
    return [...this.#runs.keys()];
  }

  async stop() {
    for (const timer of this.#timers) clearTimeout(timer);
    for (const {timer} of this.#runs.values()) clearTimeout(timer);
    this.#server.closeAllConnections();
    await new Promise(resolve => this.#server.close(resolve));
  }

  async #announce() {
    const {host, port, control, backend, zone, room, labels} = this.#options;
    const body = {
      backend,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      room,
      labels,
      clock_ms: this.clock,
      born: this.born,
      sequence: ++this.#sequence,
    };
    await fetch(`http://${control}/v1/Instances.Heartbeat/${this.id}`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(1000),
    }).then(
      answer => answer.arrayBuffer(),
      () => undefined,
    );
  }

  async #answer(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const reply = (status, body) => {
      const text = JSON.stringify({clock_ms: this.clock, born: this.born, ...body});
      res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
      res.end(text);
    };
    const expected = req.headers['wasabiring-expect-instance'];
    if (expected !== undefined && expected !== this.id) return reply(421, {});
    let body;
    try {
      body = JSON.parse(Buffer.concat(chunks).toString());
    } catch {
      return reply(400, {});
    }
    const isOrder = req.url === '/v1/run-start' || req.url === '/v1/run-stop';
    if (isOrder && Math.random() < this.lateShare) {
      const delayMs = 2000 + 10_000 * Math.random();
      this.#timers.push(setTimeout(() => this.#carryOut(req.url, {...body, isLate: true}), delayMs));
      this.#options.record({at: Date.now(), what: 'left unanswered', order: req.url, executor: this.#options.host, task: body.task, run: body.run});
      return;
    }
    if (isOrder) return reply(...this.#carryOut(req.url, body));
    const fence = body.fencing_token ?? 0;
    if (fence < this.#fence) return reply(409, {reason: 'fence'});
    this.#fence = fence;
    switch (req.url) {
      case '/v1/hold':
        await this.#hold(body);
        return reply(200, this.#describe());
      default:
        return reply(404, {});
    }
  }

  #carryOut(url, body) {
    const fence = body.fencing_token ?? 0;
    if (fence < this.#fence) return [409, {reason: 'fence'}];
    this.#fence = fence;
    return url === '/v1/run-start' ? this.#start(body) : this.#stop(body);
  }

  #extend(deadline) {
    const most = this.clock + this.#options.holdMaxMs;
    this.#deadline = Math.max(this.#deadline, Math.min(deadline, most));
  }

  #start({task, run, spec, deadline_ms: deadline, isLate = false}) {
    if (deadline <= this.clock) return [409, {reason: 'late'}];
    const present = this.#runs.get(task);
    if (present?.run === run) {
      this.#extend(deadline);
      return [200, {}];
    }
    if (run <= Math.max(this.#highest.get(task) ?? 0, present?.run ?? 0)) {
      this.#extend(deadline);
      return [409, {reason: 'old'}];
    }
    const need = this.#options.describeTask(task, spec);
    const used = {cpu: need.cpu, mem_mb: need.mem_mb, gpu: need.gpu ?? 0};
    for (const each of this.#runs.values()) {
      used.cpu += each.need.cpu;
      used.mem_mb += each.need.mem_mb;
      used.gpu += each.need.gpu ?? 0;
    }
    const {room} = this.#options;
    // Sums of fractions are compared with a tolerance.
    if (used.cpu > room.cpu + 1e-6 || used.mem_mb > room.mem_mb + 1e-6 || used.gpu > (room.gpu ?? 0) + 1e-6) {
      this.#extend(deadline);
      return [409, {reason: 'room'}];
    }
    this.#extend(deadline);
    const startedAt = this.clock;
    const timer = setTimeout(() => this.#end(task, run, 'done'), need.workMs);
    this.#runs.set(task, {run, need, startedAt, timer});
    this.#options.record({at: Date.now(), what: 'start', executor: this.#options.host, task, run, ...(isLate && {isLate})});
    return [200, {}];
  }

  #stop({task, run}) {
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
    if (this.#runs.get(task)?.run === run) this.#end(task, run, 'stopped');
    return [200, {}];
  }

  async #hold({acked_upto: acked, deadline_ms: deadline, wait_ms: waitMs}) {
    if (deadline !== undefined) this.#extend(deadline);
    this.#finished = this.#finished.filter(([number]) => number > acked);
    if (waitMs === undefined || this.#finished.length > 0) return;
    await new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(2000, waitMs));
      this.#waiters.add(wake);
    });
  }

  #describe() {
    const running = [...this.#runs].map(([task, {run, need, startedAt}]) => {
      const percent = Math.floor((100 * (this.clock - startedAt)) / need.workMs);
      return [task, run, '', Math.min(99, percent), need.cpu];
    });
    return {running, finished: this.#finished.slice(0, rememberedEnds)};
  }

  #end(task, run, how) {
    const present = this.#runs.get(task);
    if (present?.run !== run) return;
    clearTimeout(present.timer);
    this.#runs.delete(task);
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
    this.#finished.push([++this.#count, task, run, how, '']);
    this.#options.record({at: Date.now(), what: how, executor: this.#options.host, task, run});
    for (const wake of [...this.#waiters]) wake();
  }

  #expire() {
    if (this.clock <= this.#deadline) return;
    for (const [task, {run}] of [...this.#runs]) this.#end(task, run, 'lapsed');
  }
}
