// Starts the project's own programs as processes, with the commands and the settings template of deploy/, on loopback
// addresses, and stand-ins for executors, clients and the operator.
import {fork, spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {hrtime} from 'node:process';
import {fileURLToPath} from 'node:url';

const libFolder = dirname(fileURLToPath(import.meta.url));
export const root = join(libFolder, '..', '..');
export const nowMs = () => Number(hrtime.bigint()) / 1e6;
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== '0';
export const newJobId = () => randomBytes(8).toString('hex');

/** The bounds of the sheet for `ulpl-odnowienia`. */
export const sheetBounds = {
  config_apply_ms: 2000,
  drain_ms: 2000,
  cancel_ms: 3000,
  stop_ms: 50,
  hold_max_ms: 1000,
  grace_s: 6,
  stable_window_ms: 3000,
};

/** Renders the part of the template language that deploy/settings.toml uses. */
function renderTemplate(text, fields) {
  const look = (path, scope) => {
    if (path === '.') return scope['.'];
    const parts = path.split('.');
    let value = parts[0] in scope ? scope : fields;
    for (const part of parts) value = value?.[part];
    return value;
  };
  const show = (value, json) => {
    if (json) return JSON.stringify(value ?? null);
    if (value === undefined || value === null) return '';
    return typeof value === 'object' ? JSON.stringify(value) : String(value);
  };
  const expand = (part, scope) =>
    part
      .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, inner) => {
        const value = look(path, scope);
        if (!Array.isArray(value)) return value ? expand(inner, scope) : '';
        return value
          .map((each, i) => expand(inner, {'.': each, '@': i, ',': i < value.length - 1 ? ',' : ''}))
          .join('');
      })
      .replace(/\{\{,\}\}/g, () => scope[','] ?? '')
      .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => show(look(path, scope), json));
  return expand(text, {});
}

/** Reads the commands of the roles from deploy/system.toml. */
function readCommands() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const commands = {};
  for (const [, role, run] of text.matchAll(/\[roles\.(\w+)\]\s*\nrun = "([^"]+)"/g)) commands[role] = run.split(' ');
  return commands;
}

async function findFreePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve));
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Sends one request; resolves with the status and the parsed body, or with status 0 when there was no whole response. */
export function send({address, method, path, headers = {}, body, timeoutMs = 2000, agent, onSent}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body);
  return new Promise(resolve => {
    let isSettled = false;
    const settle = outcome => {
      if (isSettled) return;
      isSettled = true;
      resolve(outcome);
    };
    const req = httpRequest(
      {
        host,
        port,
        method,
        path,
        agent: agent ?? false,
        headers: {
          ...(text !== '' && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}),
          ...headers,
        },
      },
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('end', () => {
          const answer = Buffer.concat(chunks).toString('utf8');
          let parsed;
          try {
            parsed = JSON.parse(answer);
          } catch {
            parsed = undefined;
          }
          settle({status: res.statusCode, headers: res.headers, text: answer, body: parsed});
        });
        res.on('error', error => settle({status: 0, error: String(error)}));
        res.on('aborted', () => settle({status: 0, error: 'the response was cut'}));
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy(new Error(`no answer within ${timeoutMs} ms`)));
    req.on('error', error => settle({status: 0, error: String(error)}));
    req.end(text, () => onSent?.());
  });
}

/** Keeps connections open, as clients do. */
export const newKeepAliveAgent = () => new Agent({keepAlive: true, maxSockets: 200});

export class Site {
  processes = [];
  executors = [];
  events = [];
  lines = [];
  constructor(folder, options) {
    this.folder = folder;
    this.options = options;
    this.startedAt = nowMs();
  }

  static async start(options) {
    const folder = mkdtempSync(join(tmpdir(), 'review-'));
    const site = new Site(folder, options);
    const network = 20 + (process.pid % 200);
    const net = part => `127.${network}.${part}`;
    site.zones = ['zone-a', 'zone-b', 'zone-c'];
    const probe = net('1.1');
    const ports = [];
    while (ports.length < 5) {
      const port = await findFreePort(probe);
      if (!ports.includes(port)) ports.push(port);
    }
    const [innerPort, callersPort, readinessPort, controlPort] = ports;
    Object.assign(site, {innerPort, callersPort, readinessPort, controlPort});
    const controls = [1, 2, 3].map(i => net(`1.${i}`));
    site.seeds = controls.map(host => `${host}:${controlPort}`);
    site.entries = [];
    controls.forEach((host, i) => site.open('control', `core-${site.zones[i]}-1`, host, site.zones[i]));
    for (let i = 0; i < (options.entries ?? 3); i++) {
      const host = net(`2.${i + 1}`);
      site.entries.push({name: `edge-${i + 1}`, callers: `${host}:${callersPort}`, readiness: `${host}:${readinessPort}`});
      site.open('entry', `edge-${site.zones[i % 3]}-${i + 1}`, host, site.zones[i % 3]);
    }
    for (let i = 0; i < options.agents; i++) {
      const host = net(`3.${i + 1}`);
      const zone = site.zones[i % 3];
      const port = await findFreePort('127.0.0.1');
      const executor = {
        name: `executor-${i + 1}`,
        host: '127.0.0.1',
        port,
        zone,
        agent: `${host}:${controlPort}`,
        backend: 'svc-a',
        heartbeatMs: options.heartbeatMs ?? 1500,
        id: `i-${randomBytes(4).toString('hex')}`,
        room: {cpu: 8000, mem_mb: 16384, gpu: 0},
        labels: ['a', 'r1-1'],
        ...options.describeExecutor?.(i),
      };
      site.executors.push(executor);
      site.startExecutor(executor);
      site.open('agent', `side-${zone}-${i + 1}`, host, zone, `127.0.0.1:${port}`);
    }
    return site;
  }

  note(text) {
    const at = (nowMs() - this.startedAt).toFixed(1);
    this.lines.push(`${at.padStart(10)} ${text}`);
  }

  startExecutor(executor) {
    const child = fork(join(libFolder, 'executor.mjs'), [JSON.stringify(executor)], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
    executor.child = child;
    child.on('message', event => {
      this.events.push(event);
      const {at, executor: name, event: kind, life, ...rest} = event;
      const time = (at - this.startedAt).toFixed(1).padStart(10);
      this.lines.push(`${time} ${name} life ${life}: ${kind} ${JSON.stringify(rest)}`);
      this.onEvent?.(event);
    });
    executor.ended = new Promise(resolve => child.once('exit', resolve));
  }

  /** Kills an executor's process: what runs there is gone. */
  async crashExecutor(executor) {
    executor.child.kill('SIGKILL');
    await executor.ended;
    const at = nowMs();
    this.events.push({at, executor: executor.name, event: 'crash'});
    this.note(`${executor.name}: crash (SIGKILL)`);
  }

  open(role, name, host, zone, app) {
    const data = role === 'control' ? join(this.folder, `data-${name}`) : null;
    if (data !== null) mkdirSync(data, {recursive: true});
    const listen = {
      entry: {frontend: `${host}:${this.callersPort}`, readiness: `${host}:${this.readinessPort}`},
      agent: {control: `${host}:${this.controlPort}`},
      control: {control: `${host}:${this.controlPort}`},
    }[role];
    const fields = {
      node: name,
      region: 'region-a',
      zone,
      ip: host,
      internal_ports: [this.innerPort, this.innerPort + 15],
      seeds: this.seeds,
      bootstrap: true,
      fault_tolerance: {machines: 1, zones: 0, regions: 0},
      data_dir: data,
      listen,
      app,
      bounds: {...sheetBounds, ...this.options.bounds},
    };
    const template = readFileSync(join(root, 'deploy/settings.toml'), 'utf8');
    const settings = join(this.folder, `${name}.toml`);
    writeFileSync(settings, renderTemplate(template, fields));
    const child = {role, name, host, settings, log: join(this.folder, `${name}.log`), ends: []};
    this.processes.push(child);
    this.spawn(child);
  }

  spawn(each) {
    const [program, ...args] = readCommands()[each.role];
    const output = openSync(each.log, 'a');
    each.process = spawn(program, args, {
      cwd: root,
      stdio: ['ignore', output, output],
      env: {PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, WASABIRING_CONFIG: each.settings},
    });
    closeSync(output);
    each.ended = new Promise(resolve =>
      each.process.once('exit', (code, signal) => {
        each.ends.push({at: nowMs(), code, signal});
        this.note(`${each.name}: process ended, code ${code}, signal ${signal}`);
        resolve();
        if (each.restarts && !this.isStopping) setTimeout(() => !this.isStopping && this.spawn(each), 300);
      }),
    );
  }

  find(name) {
    return this.processes.find(each => each.name === name);
  }

  /** Replaces the configuration, as the operator does: the same order again, to any daemon, until it is answered. */
  async configure(version, {routes = 1, timeoutMs = 1500, extra = {}} = {}) {
    const document = {
      version,
      routes: Array.from({length: routes}, (_, i) => ({
        name: `r-${i}`,
        host: 'h.example',
        path_prefix: `/p${i}/`,
        type: 'non_idempotent',
        timeout_ms: timeoutMs,
        target_completion_ms: 60,
        priority: 0,
        backend: 'svc-a',
        attempts: 3,
        stretch: 1.6,
        ...extra,
      })),
      services: [
        {name: 'svc-a', health_path: '/healthz', max_connections: 64, protocol: 'h1', tls: false, enforces_capacity: true, spare: false},
      ],
      limits: {max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000},
    };
    const text = JSON.stringify(document);
    for (let attempt = 0; attempt < 60; attempt++) {
      const address = this.seeds[attempt % this.seeds.length];
      const {status} = await send({address, method: 'POST', path: '/v1/Config.Replace', body: text, timeoutMs: 1000});
      if (status === 200) {
        this.note(`operator: version ${version} with ${routes} routes acknowledged`);
        return true;
      }
      await sleep(250);
    }
    this.note(`operator: version ${version} was not acknowledged`);
    return false;
  }

  /** Waits until every entry reports ready and the service has settled. */
  async waitUntilReady(timeoutMs = 25_000) {
    const until = nowMs() + timeoutMs;
    for (const {name, readiness} of this.entries) {
      for (;;) {
        const {status} = await send({address: readiness, method: 'GET', path: '/v1/readyz', timeoutMs: 1000});
        if (status === 200) break;
        if (nowMs() > until) throw new Error(`${name} is not ready`);
        await sleep(100);
      }
    }
    await sleep(2500);
  }

  /** Submits a job; resolves with the response. */
  async submit({entry, id = newJobId(), steps, spec, deadlineMs = 1500, route = 0, agent}) {
    const sentAt = nowMs();
    const answer = await send({
      address: entry.callers,
      method: 'POST',
      path: `/p${route}/${id}`,
      headers: {host: 'h.example', 'wasabiring-deadline-ms': String(deadlineMs)},
      body: {spec, steps, best_effort: true},
      timeoutMs: deadlineMs,
      agent,
    });
    const ms = Math.round(nowMs() - sentAt);
    this.note(`client: POST ${id} at ${entry.name}: ${answer.status || answer.error} ${answer.text ?? ''} after ${ms} ms`);
    return {...answer, id, sentAt, endedAt: nowMs()};
  }

  /** Ends all processes that this site has started. */
  kill() {
    this.isStopping = true;
    for (const {child} of this.executors) child.kill('SIGKILL');
    for (const each of this.processes) {
      each.process.kill('SIGCONT');
      each.process.kill('SIGKILL');
    }
    if (!process.env.KEEP) rmSync(this.folder, {recursive: true, force: true});
  }

  async stop() {
    this.kill();
    await Promise.all([...this.processes, ...this.executors].map(each => each.ended));
    if (process.env.KEEP) console.log(`logs in ${this.folder}`);
  }
}

/** Runs a case: its function returns the breaks of the rule that it found, or throws when it could not run. */
export async function runCase(folder, play) {
  let site;
  let code = 2;
  const finish = () => site?.kill();
  process.on('exit', finish);
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(2));
  const guard = setTimeout(() => {
    console.log('could not run: it took too long');
    process.exit(2);
  }, 116_000);
  try {
    const outcome = await play(async options => (site = await Site.start(options)));
    code = outcome.breaks.length > 0 ? 1 : 0;
    for (const line of outcome.summary ?? []) site.note(line);
    for (const each of outcome.breaks) site.note(`BROKEN ${each}`);
    console.log([...(outcome.summary ?? []), ...outcome.breaks.slice(0, 5).map(each => `BROKEN ${each}`)].join('\n'));
    console.log(code === 1 ? `the rule was broken ${outcome.breaks.length} times` : 'the rule held');
  } catch (error) {
    console.log(`could not run: ${error.stack ?? error}`);
    site?.note(`could not run: ${error.stack ?? error}`);
  }
  const lines = site?.lines ?? [];
  lines.sort((a, b) => parseFloat(a) - parseFloat(b));
  writeFileSync(join(folder, 'record.txt'), lines.join('\n') + '\n');
  await site?.stop();
  clearTimeout(guard);
  process.exit(code);
}
