import {spawn} from 'node:child_process';
import {closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Executor} from './executor.mjs';
import {renderTemplate} from './template.mjs';

/** Bounds of the small sites, as their site files state them. */
const bounds = {
  hold_max_ms: 1000,
  grace_s: 6,
  cross_rack_factor: 1.5,
};
/** The platform starts a process again this long after its end, in ms. */
const restartMs = 200;
/** The machines beside executors, named and placed as on the site; the last ones are spare. */
const sideNames = [
  ...['waw-a-1', 'waw-a-2', 'waw-a-3', 'waw-a-4'],
  ...['waw-b-1', 'waw-b-2', 'waw-b-3', 'waw-b-4'],
  ...['rad-c-1', 'rad-c-2', 'rad-c-3'],
  ...['waw-a-5', 'waw-b-5', 'rad-c-4', 'waw-a-6', 'waw-b-6'],
];
const zones = ['waw-a', 'waw-b', 'rad-c'];
const service = 'odnowienia';
const callersHost = 'wuny96.example';

/** Reads the command of each role from the deploy file. */
function readCommands(root) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const commands = {};
  let role;
  for (const line of text.split('\n')) {
    const head = /^\[roles\.(\w+)\]/.exec(line);
    if (head !== null) role = head[1];
    const run = /^run = "(.*)"$/.exec(line);
    if (run !== null && role !== undefined) commands[role] = run[1].split(' ');
  }
  return commands;
}

/** One process of the system, started again by the platform whenever it ends. */
class Process {
  constructor(site, role, host, fields) {
    Object.assign(this, {site, role, host, fields});
    this.settings = join(site.folder, `${host}.toml`);
    this.log = join(site.folder, `${role}-${host}.log`);
    this.shouldRun = true;
  }

  start() {
    const {site} = this;
    writeFileSync(this.settings, renderTemplate(site.template, this.fields));
    this.fields.bootstrap = false;
    const [program, ...args] = site.commands[this.role];
    const output = openSync(this.log, 'a');
    const {PATH, HOME, LANG} = process.env;
    this.child = spawn(program, args, {
      cwd: site.root,
      stdio: ['ignore', output, output],
      env: {
        ...(PATH !== undefined && {PATH}),
        ...(HOME !== undefined && {HOME}),
        ...(LANG !== undefined && {LANG}),
        WASABIRING_CONFIG: this.settings,
      },
    });
    closeSync(output);
    this.ended = new Promise(resolve =>
      this.child.once('exit', (code, signal) => {
        site.note('ended', {process: `${this.role} ${this.host}`, code, signal});
        resolve();
        if (!this.shouldRun) return;
        setTimeout(() => this.shouldRun && this.start(), restartMs);
      }),
    );
  }

  signal(name) {
    this.site.note('signal', {process: `${this.role} ${this.host}`, name});
    this.child.kill(name);
  }

  /** Ends the process without a restart until `powerOn`. */
  powerOff() {
    this.shouldRun = false;
    this.signal('SIGKILL');
  }

  powerOn() {
    this.site.note('power on', {process: `${this.role} ${this.host}`});
    this.shouldRun = true;
    this.start();
  }

  readLog() {
    return readFileSync(this.log, 'utf8');
  }

  async finish() {
    this.shouldRun = false;
    if (this.child === undefined) return;
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
    await this.ended;
  }
}

/** A small deployment on loopback addresses: three control processes, entries, and agents with executors. */
export class Site {
  constructor({root, record}) {
    this.root = root;
    this.record = record;
    this.startedAt = performance.now();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.commands = readCommands(root);
    this.template = readFileSync(join(root, 'deploy/settings.toml'), 'utf8');
    this.processes = [];
    this.executors = [];
    /** Starts of tasks, in order. */
    this.starts = [];
    this.ends = [];
    this.version = 0;
  }

  /** Writes a line with the time since the start, in ms. */
  note(what, detail = {}) {
    const at = Math.round(performance.now() - this.startedAt);
    this.record.push(`${String(at).padStart(6)} ${what} ${JSON.stringify(detail)}`);
  }

  async open({entries, agents}) {
    await this.pickAddresses();
    const controls = [1, 2, 3].map(i => `127.${this.network}.1.${i}`);
    this.seeds = controls.map(host => `${host}:${this.ports.control}`);
    for (const [i, host] of controls.entries()) {
      const data = join(this.folder, `data-${host}`);
      mkdirSync(data);
      this.addProcess('control', host, `core-${zones[i]}-1`, {data_dir: data});
    }
    for (let i = 0; i < entries; i++) {
      const host = `127.${this.network}.2.${i + 1}`;
      this.addProcess('entry', host, `edge-${zones[i]}-1`, {});
    }
    for (let i = 1; i <= agents; i++) await this.addAgent();
  }

  /** Adds a side machine: an agent and the executor beside it. */
  async addAgent() {
    const number = this.executors.length + 1;
    const host = `127.${this.network}.3.${number}`;
    const executor = new Executor({
      name: `x${number}`,
      service,
      zone: sideNames[number - 1].slice(0, 5),
      control: `${host}:${this.ports.control}`,
      onStart: start => {
        this.starts.push(start);
        this.note('start', {executor: start.executor, task: start.task, run: start.run});
      },
      onEnd: end => {
        this.ends.push(end);
        this.note('end', {executor: end.executor, task: end.task, run: end.run, how: end.how});
      },
    });
    await executor.listen();
    this.executors.push(executor);
    const agent = this.addProcess('agent', host, `side-${sideNames[number - 1]}`, {
      app: executor.address,
    });
    agent.executor = executor;
    return agent;
  }

  addProcess(role, host, node, fields) {
    const listen = {
      frontend: `${host}:${this.ports.frontend}`,
      readiness: `${host}:${this.ports.readiness}`,
      control: `${host}:${this.ports.control}`,
    };
    const added = new Process(this, role, host, {
      node,
      region: 'mazowsze',
      zone: node.split('-').slice(1, 3).join('-'),
      ip: host,
      internal_ports: [this.ports.inner, this.ports.inner + 15],
      seeds: this.seeds,
      bootstrap: true,
      fault_tolerance: {machines: 1},
      data_dir: '',
      listen,
      app: '',
      bounds,
      limits: {max_fds: 4096},
      ...fields,
    });
    this.processes.push(added);
    added.start();
    return added;
  }

  list(role) {
    return this.processes.filter(each => each.role === role);
  }

  /** Picks a network of loopback addresses, and ports that are free there. */
  async pickAddresses() {
    for (let attempt = 0; attempt < 50; attempt++) {
      this.network = 20 + Math.floor(Math.random() * 200);
      const base = 20_000 + 20 * Math.floor(Math.random() * 600);
      this.ports = {frontend: base, readiness: base + 1, control: base + 2, inner: base + 3};
      const hosts = [`127.${this.network}.1.1`, `127.${this.network}.2.1`, `127.${this.network}.3.1`];
      const ports = [...Object.values(this.ports), 9464];
      const checks = hosts.flatMap(host => ports.map(port => isFree(host, port)));
      if ((await Promise.all(checks)).every(free => free)) return;
    }
    throw new Error('no free ports');
  }

  /** Sends the next configuration until a control process acknowledges it; further routes differ in the fields given. */
  async configure({timeoutMs = 1500, furtherRoutes = []} = {}) {
    const version = ++this.version;
    const route = {
      name: 'r-1',
      host: callersHost,
      path_prefix: '/p/',
      type: 'non_idempotent',
      timeout_ms: timeoutMs,
      target_completion_ms: 60,
      priority: 0,
      backend: service,
      attempts: 3,
      stretch: 1.6,
    };
    const body = JSON.stringify({
      version,
      routes: [route, ...furtherRoutes.map(each => ({...route, ...each}))],
      services: [
        {
          name: service,
          health_path: '/healthz',
          max_connections: 64,
          protocol: 'h1',
          tls: false,
          enforces_capacity: true,
          spare: false,
        },
      ],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 262_144,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
      },
    });
    for (let attempt = 0; attempt < 200; attempt++) {
      const control = this.list('control')[attempt % 3];
      const answer = await send({
        host: control.host,
        port: this.ports.control,
        method: 'POST',
        path: '/v1/Config.Replace',
        body,
        limitMs: 1000,
      });
      if (answer !== undefined && (answer.status === 200 || answer.status === 400)) {
        this.note('configured', {version, status: answer.status});
        return answer.status;
      }
      await sleep(100);
    }
    throw new Error('the configuration was not acknowledged');
  }

  /** Waits until every agent has taken its executor and every entry is ready and completes a job. */
  async waitUntilReady() {
    const deadline = performance.now() + 25_000;
    const wait = async (isMet, what) => {
      while (!(await isMet())) {
        if (performance.now() > deadline) throw new Error(`${what} in time`);
        await sleep(50);
      }
    };
    const hasLogged = (each, event) => each.readLog().includes(`"event":"${event}"`);
    for (const agent of this.list('agent')) {
      const isTaken = () => hasLogged(agent, 'executor-adopted') && hasLogged(agent, 'announced');
      await wait(isTaken, 'an agent has not taken its executor');
    }
    for (const entry of this.list('entry')) {
      await wait(() => this.isReady(entry), 'an entry is not ready');
      const completes = async () => {
        const {text} = await this.submit({entry, tasks: 8, workMs: 20}).done;
        return text.includes('completed');
      };
      await wait(completes, 'an entry completes no job');
    }
  }

  async isReady(entry) {
    const answer = await send({
      host: entry.host,
      port: this.ports.readiness,
      method: 'GET',
      path: '/v1/readyz',
      limitMs: 500,
    });
    return answer?.status === 200;
  }

  /** Submits a best-effort job; `done` resolves with its answer. */
  submit({id = newId(), entry, tasks = 1, workMs = 50, deadlineMs = 1500, cpu = 1000, steps}) {
    const target = entry ?? this.list('entry')[0];
    const spec = JSON.stringify({workMs, cpu, id});
    const body = JSON.stringify({
      best_effort: true,
      spec,
      steps: steps ?? [{count: tasks, cpu, mem_mb: 64, estimate_ms: workMs}],
    });
    this.note('submit', {id, entry: target.host});
    const done = send({
      host: target.host,
      port: this.ports.frontend,
      method: 'POST',
      path: `/p/${id}`,
      headers: {host: callersHost, 'wasabiring-deadline-ms': String(deadlineMs)},
      body,
      limitMs: deadlineMs + 500,
    }).then(answer => {
      this.note('answer', {id, entry: target.host, status: answer?.status, body: answer?.text});
      return {id, status: answer?.status, text: answer?.text ?? ''};
    });
    return {id, done, spec};
  }

  /** Asks an entry how many jobs wait in the queue of a path; resolves with the status of the answer. */
  async askWaiting(entry, path) {
    const answer = await send({
      host: entry.host,
      port: this.ports.frontend,
      method: 'GET',
      path,
      headers: {host: callersHost},
      limitMs: 1000,
    });
    this.note('waiting', {entry: entry.host, path, status: answer?.status});
    return answer?.status;
  }

  /** Cancels a job; resolves with the status of the answer. */
  async cancel({id, entry, limitMs = 1500}) {
    const target = entry ?? this.list('entry')[0];
    this.note('cancel', {id, entry: target.host});
    const answer = await send({
      host: target.host,
      port: this.ports.frontend,
      method: 'DELETE',
      path: `/p/${id}`,
      headers: {host: callersHost, 'wasabiring-deadline-ms': String(limitMs)},
      limitMs: limitMs + 500,
    });
    this.note('cancel-answer', {id, entry: target.host, status: answer?.status});
    return answer?.status;
  }

  /** Finds the agent whose dispatcher accepted a job last, by its log; used to aim a disruption. */
  findHome(id) {
    return this.list('agent').find(agent =>
      agent
        .readLog()
        .split('\n')
        .some(line => line.includes('"job-accepted"') && line.includes(id)),
    );
  }

  async close({keep = false} = {}) {
    await Promise.all(this.processes.map(each => each.finish()));
    for (const executor of this.executors) executor.close();
    if (!keep) rmSync(this.folder, {recursive: true, force: true});
  }
}

export function newId() {
  return [...crypto.getRandomValues(new Uint8Array(8))]
    .map(byte => byte.toString(16).padStart(2, '0'))
    .join('');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Sends one HTTP request on its own connection; undefined without a whole answer in time. */
export function send({host, port, method, path, headers = {}, body, limitMs, agent = false}) {
  return new Promise(resolve => {
    const req = request({
      host,
      port,
      method,
      path,
      agent,
      headers: {
        ...headers,
        ...(body !== undefined && {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        }),
      },
    });
    const timer = setTimeout(() => req.destroy(new Error('no answer in time')), limitMs);
    const finish = answer => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on('error', () => finish(undefined));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', () => finish(undefined));
      res.on('aborted', () => finish(undefined));
      res.on('end', () =>
        finish({status: res.statusCode, text: Buffer.concat(chunks).toString('utf8')}),
      );
    });
    req.end(body);
  });
}
