import {EventEmitter} from 'node:events';
import {readFileSync} from 'node:fs';
import test from 'ava';
import {BrokenInvariant} from '#model';
import type {AgentStatus} from '#protocol';
import {openLog} from '#telemetry';
import {stopOnBrokenInvariants} from '../src/role.js';
import {watchStopSignals} from '../src/signals.js';
import {run, serve} from './tool.js';

test('the version is that of the package', async t => {
  const {version} = JSON.parse(readFileSync('package.json', 'utf8'));
  t.deepEqual(await run('--version'), {code: 0, out: `${version}\n`, err: ''});
});

test('help exits 0; no command, an unknown one and an unknown option exit 2', async t => {
  t.is((await run('--help')).code, 0);
  t.is((await run('config apply --help')).code, 0);
  t.is((await run([])).code, 2);
  t.is((await run('serve')).code, 2);
  t.is((await run('entry --setting x')).code, 2);
});

test('a role whose settings are wrong exits 3 with every error', async t => {
  const {code, err} = await run('entry --settings examples/gilgit/site.toml');
  t.is(code, 3);
  t.regex(err, /lacks key "process.id"/);
  t.regex(err, /lacks key "entry.http"/);
});

test('settings check finds the role of the files', async t => {
  const {code, out} = await run(
    'settings check --settings examples/gilgit/entry-1.toml --overlay examples/gilgit/site.toml --role entry',
  );
  t.is(code, 0);
  t.is(out, 'valid: entry "gilgit-entry-1" at site "gilgit"\n');
});

test('settings show lists what holds with its defaults', async t => {
  const files =
    '--settings examples/gilgit/site.toml --overlay examples/gilgit/executor-1.toml --role agent';
  const {out} = await run(`settings show ${files}`);
  t.regex(out, /^agent.executor.slots = 8$/m);
  t.regex(out, /^leases.entry_lease_ms = 3000$/m);
  t.regex(out, /^limits.max_tasks_per_job = 1000$/m);
  const json = JSON.parse((await run(`settings show --json ${files}`)).out);
  t.is(json['process.site'], 'gilgit');
});

test('drain tells the agent how long it may take', async t => {
  let remaining = 0;
  const agent = await serve(t, {
    'agent.drain': ({remainingMs}) => {
      remaining = remainingMs;
      return {};
    },
  });
  const {code} = await run(`drain --agent ${agent} --remaining-ms 1234`);
  t.is(code, 0);
  t.is(remaining, 1234);
});

test('drain without an agent is a usage error', async t => {
  t.is((await run('drain')).code, 2);
  t.is((await run('drain --target a')).code, 2);
});

test('drain --wait fails when the agent stays', async t => {
  const agent = await serve(t, {
    'agent.drain': () => ({}),
    'agent.status': () => ({running: 1}) as unknown as AgentStatus,
  });
  const {code} = await run(`drain --agent ${agent} --remaining-ms 1 --wait`);
  t.is(code, 1);
});

test('status of a control that is down exits 5 and names it', async t => {
  const {code, out} = await run('status --control 127.0.0.1:1');
  t.is(code, 5);
  t.regex(out, /^control 127.0.0.1:1: .*ECONNREFUSED/);
});

test('the first signal drains and the second halts', t => {
  const source = new EventEmitter();
  const signals = watchStopSignals(source, 60_000);
  source.emit('SIGINT');
  t.true(signals.drain.aborted);
  t.false(signals.halt.aborted);
  source.emit('SIGTERM');
  t.true(signals.halt.aborted);
  signals[Symbol.dispose]();
  t.is(source.listenerCount('SIGTERM'), 0);
});

test('the drain deadline halts without a second signal', async t => {
  const source = new EventEmitter();
  const signals = watchStopSignals(source, 1);
  const halted = new Promise(resolve =>
    signals.halt.addEventListener('abort', resolve),
  );
  source.emit('SIGTERM');
  const keepAlive = setInterval(() => {}, 1000);
  await halted;
  clearInterval(keepAlive);
  t.true(signals.drain.aborted);
});

test('an error that nothing handles is logged as fatal and exits 70', t => {
  const codes: number[] = [];
  const source = Object.assign(new EventEmitter(), {
    exit: (code: number) => codes.push(code),
  });
  let text = '';
  const log = openLog('error', 'entry', 'entry-1', {
    write: line => (text += line),
  });
  stopOnBrokenInvariants(source, log);
  source.emit('unhandledRejection', new BrokenInvariant('two leaders'));
  t.deepEqual(codes, [70]);
  const {level, event, msg, err} = JSON.parse(text);
  t.deepEqual([level, event, msg], [60, 'broken-invariant', 'two leaders']);
  t.is(err.type, 'BrokenInvariant');
});
