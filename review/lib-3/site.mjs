// A small deployment on loopback: the project's programs with the commands of the deploy file, and sound executors.
import {spawn} from 'node:child_process';
import {closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, appendFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Executor} from './executor.mjs';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const service = 'tally';
export const hostName = 'pens.example';
export const prefix = '/count/';
const restartMs = 300;
const root = new URL('../..', import.meta.url).pathname;

/** The commands of the deploy file, by role. */
function readCommands() {
  const commands = new Map();
  let role;
  for (const line of readFileSync(join(root, 'deploy/system.toml'), 'utf8').split('\n')) {
    const head = /^\[roles\.(\w+)\]/.exec(line);
    if (head) role = head[1];
    const run = /^run = "(.*)"/.exec(line);
    if (run) commands.set(role, run[1].split(' '));
  }
  return commands;
}

async function findFreePort(host) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

const children = new Set();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(name, () => process.exit(2));

/** One program of the deploy file, which the platform starts again whenever it ends. */
class Program {
  #child;
  #wanted = true;
  ended = Promise.resolve();

  constructor(role, host, command, settings, log) {
    Object.assign(this, {role, host, command, settings, log});
    this.#start();
  }

  get pid() {
    return this.#child.pid;
  }

  signal(name) {
    this.#child.kill(name);
  }

  async finish() {
    this.#wanted = false;
    this.#child.kill('SIGCONT');
    this.#child.kill('SIGKILL');
    await this.ended;
  }

  #start() {
    const output = openSync(this.log, 'a');
    const [name, ...args] = this.command;
    this.#child = spawn(name, args, {
      cwd: root,
      stdio: ['ignore', output, output],
      env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '/', LANG: process.env.LANG ?? 'C', WASABIRING_CONFIG: this.settings},
    });
    closeSync(output);
    const child = this.#child;
    children.add(child);
    this.ended = new Promise(resolve =>
      child.once('exit', () => {
        children.delete(child);
        resolve();
        if (this.#wanted) setTimeout(() => this.#wanted && this.#start(), restartMs);
      }),
    );
  }
}

export class Site {
  programs = [];
  executors = [];
  events = [];

  /** Options: record (file), agents, edges, controls, room, describeTask, services by agent. */
  static async start(options) {
    const site = new Site();
    site.options = {agents: 4, edges: 2, controls: 3, room: {cpu: 16000, mem_mb: 32768}, ...options};
    writeFileSync(options.record, '');
    site.folder = mkdtempSync(join(tmpdir(), 'review-'));
    const octet = 20 + Math.floor(Math.random() * 200);
    site.network = `127.${octet}`;
    const first = `${site.network}.1.1`;
    site.innerPort = await findFreePort(first);
    site.frontendPort = await findFreePort(first);
    site.readinessPort = await findFreePort(first);
    site.controlPort = await findFreePort(first);
    site.appPort = await findFreePort(first);
    site.metricsPort = await findFreePort(first);
    const {controls, edges, agents} = site.options;
    const host = (group, i) => `${site.network}.${group}.${i + 1}`;
    site.controlHosts = Array.from({length: controls}, (_, i) => host(1, i));
    site.edgeHosts = Array.from({length: edges}, (_, i) => host(2, i));
    site.sideHosts = Array.from({length: agents}, (_, i) => host(3, i));
    for (const each of site.controlHosts) site.#open('control', each);
    for (const each of site.edgeHosts) site.#open('entry', each);
    for (const each of site.sideHosts) {
      site.#open('agent', each);
      site.executors.push(await site.openExecutor(each));
    }
    return site;
  }

  openExecutor(host) {
    const {room, describeTask} = this.options;
    return Executor.start({
      host,
      port: this.appPort,
      control: `${host}:${this.controlPort}`,
      backend: service,
      zone: this.zoneOf(host),
      room,
      labels: ['a', 'r1'],
      heartbeatMs: 1500,
      holdMaxMs: 1000,
      describeTask,
      record: event => this.record(event),
    });
  }

  zoneOf(host) {
    return `zone-${Number(host.split('.')[3]) % 3}`;
  }

  record(event) {
    this.events.push(event);
    appendFileSync(this.options.record, JSON.stringify(event) + '\n');
  }

  /** The settings file, in the layout of deploy/settings.toml. */
  #open(role, host) {
    const data = join(this.folder, host);
    if (role === 'control') mkdirSync(data, {recursive: true});
    const settings = join(this.folder, `${host}.toml`);
    const seeds = this.controlHosts.slice(0, 3).map(each => `"${each}:${this.controlPort}"`);
    const lines = [
      `id = "${role}-${host.replaceAll('.', '-')}"`,
      'region = "r"',
      `failure_domain = "${this.zoneOf(host)}"`,
      `host = "${host}"`,
      `inner_port = ${this.innerPort}`,
      `seeds = [${seeds.join(', ')}]`,
      'first_start = true',
      'borne_losses = 1',
      `data = "${role === 'control' ? data : ''}"`,
      `callers = "${role === 'entry' ? `${host}:${this.frontendPort}` : ''}"`,
      `readiness = "${role === 'entry' ? `${host}:${this.readinessPort}` : ''}"`,
      `announcements = "${role === 'entry' ? '' : `${host}:${this.controlPort}`}"`,
      `executor = "${role === 'agent' ? `${host}:${this.appPort}` : ''}"`,
      'lease_limit_ms = 1000',
      'grace_s = 6.0',
      'remote_data_factor = 1.5',
      'max_descriptors = 4100',
      'log_level = "debug"',
      `metrics_port = ${this.metricsPort}`,
    ];
    writeFileSync(settings, lines.join('\n') + '\n');
    const log = join(this.folder, `${role}-${host}.log`);
    this.programs.push(new Program(role, host, readCommands().get(role), settings, log));
  }

  /** As the platform renders it after the first start of the whole system. */
  endFirstStart() {
    for (const {settings} of this.programs) {
      writeFileSync(settings, readFileSync(settings, 'utf8').replace('first_start = true', 'first_start = false'));
    }
  }

  list(role) {
    return this.programs.filter(each => each.role === role);
  }

  find(host) {
    return this.programs.find(each => each.host === host);
  }

  describeConfiguration(version, {timeoutMs = 1500, attempts = 3} = {}) {
    return {
      version,
      routes: [
        {name: 'r-1', host: hostName, path_prefix: prefix, type: 'non_idempotent', timeout_ms: timeoutMs, target_completion_ms: 60, priority: 0, backend: service, attempts, stretch: 1.6},
      ],
      services: [{name: service, health_path: '/healthz', max_connections: 64, protocol: 'h1', tls: false, enforces_capacity: true, spare: false}],
      limits: {max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000},
    };
  }

  /** Sends an order as the operator does, until it is acknowledged or refused. */
  async replaceConfiguration(document, withinMs = 15000) {
    const until = Date.now() + withinMs;
    for (let i = 0; Date.now() < until; i++) {
      const host = this.controlHosts[i % this.controlHosts.length];
      const {status} = await call({host, port: this.controlPort, method: 'POST', path: '/v1/Config.Replace', body: document, timeoutMs: 1000});
      if (status === 200) return true;
      await sleep(100);
    }
    return false;
  }

  async isReady(host) {
    const {status} = await call({host, port: this.readinessPort, method: 'GET', path: '/v1/readyz', timeoutMs: 1000});
    return status === 200;
  }

  async waitUntilReady(withinMs = 15000) {
    const until = Date.now() + withinMs;
    while (Date.now() < until) {
      const ready = await Promise.all(this.edgeHosts.map(each => this.isReady(each)));
      if (ready.every(each => each)) return true;
      await sleep(100);
    }
    return false;
  }

  /** Sends a client's request; the answer's status is undefined where none came. */
  async send(method, id, {edge = 0, body, deadlineMs = 1500, waitMs = deadlineMs + 500} = {}) {
    const host = this.edgeHosts[edge % this.edgeHosts.length];
    this.record({at: Date.now(), what: 'sent', method, id, edge: host});
    const answer = await call({
      host,
      port: this.frontendPort,
      method,
      path: prefix + id,
      body,
      headers: {host: hostName, 'wasabiring-deadline-ms': String(deadlineMs)},
      timeoutMs: waitMs,
    });
    this.record({at: Date.now(), what: 'answered', method, id, status: answer.status ?? 'none', text: answer.text, error: answer.error});
    return answer;
  }

  async stop({keep = false} = {}) {
    await Promise.all(this.programs.map(each => each.finish()));
    await Promise.all(this.executors.map(each => each.stop()));
    if (!keep) rmSync(this.folder, {recursive: true, force: true});
  }
}

export function call({host, port, method, path, body, headers = {}, timeoutMs}) {
  return new Promise(resolve => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = http.request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}),
        },
      },
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('end', () => finish({status: res.statusCode, text: Buffer.concat(chunks).toString()}));
        res.on('error', error => finish({error: String(error)}));
      },
    );
    const timer = setTimeout(() => {
      finish({error: 'no answer in time'});
      req.destroy();
    }, timeoutMs);
    const finish = answer => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on('error', error => finish({error: String(error)}));
    req.end(text);
  });
}

let counter = 0;
const run = Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, '0');
/** A new job's id: 16 hexadecimal digits. */
export function newId() {
  return run + (++counter).toString(16).padStart(8, '0');
}
