import {EventEmitter} from 'node:events';
import {readFileSync} from 'node:fs';
import test from 'ava';
import {BrokenInvariant} from '#model';
import type {AgentStatus} from '#protocol';
import {openLog} from '#telemetry';
import {stopOnBrokenInvariants} from '../src/role.js';
import {watchStopSignals} from '../src/signals.js';
import {runCommand, serveRpc} from './command-runner.js';

test('--version prints the version in package.json', async t => {
  const {version} = JSON.parse(readFileSync('package.json', 'utf8'));
  t.deepEqual(await runCommand('--version'), {
    code: 0,
    out: `${version}\n`,
    err: '',
  });
});

test('help exits 0; no command, an unknown one and an unknown option exit 2', async t => {
  t.is((await runCommand('--help')).code, 0);
  t.is((await runCommand('config apply --help')).code, 0);
  t.is((await runCommand([])).code, 2);
  t.is((await runCommand('serve')).code, 2);
  t.is((await runCommand('entry --setting x')).code, 2);
});

test('a role with invalid settings exits 3 and prints every error', async t => {
  const {code, err} = await runCommand(
    'entry --settings examples/gilgit/site.toml',
  );
  t.is(code, 3);
  t.regex(err, /lacks key "process.id"/);
  t.regex(err, /lacks key "entry.http"/);
});

test('settings check accepts the files of a role', async t => {
  const {code, out} = await runCommand(
    'settings check --settings examples/gilgit/entry-1.toml --overlay examples/gilgit/site.toml --role entry',
  );
  t.is(code, 0);
  t.is(out, 'valid: entry "gilgit-entry-1" at site "gilgit"\n');
});

test('settings show lists the effective settings, including defaults', async t => {
  const files =
    '--settings examples/gilgit/site.toml --overlay examples/gilgit/executor-1.toml --role agent';
  const {out} = await runCommand(`settings show ${files}`);
  t.regex(out, /^agent.executor.slots = 8$/m);
  t.regex(out, /^leases.entry_lease_ms = 3000$/m);
  t.regex(out, /^limits.max_tasks_per_job = 1000$/m);
  const json = JSON.parse(
    (await runCommand(`settings show --json ${files}`)).out,
  );
  t.is(json['process.site'], 'gilgit');
});

test('drain sends the time limit to the agent', async t => {
  let remaining = 0;
  const agent = await serveRpc(t, {
    'agent.drain': ({remainingMs}) => {
      remaining = remainingMs;
      return {};
    },
  });
  const {code} = await runCommand(`drain --agent ${agent} --remaining-ms 1234`);
  t.is(code, 0);
  t.is(remaining, 1234);
});

test('drain without an agent is a usage error', async t => {
  t.is((await runCommand('drain')).code, 2);
  t.is((await runCommand('drain --target a')).code, 2);
});

test('drain --wait exits 1 when the agent has not stopped in time', async t => {
  const agent = await serveRpc(t, {
    'agent.drain': () => ({}),
    'agent.status': () => ({running: 1}) as unknown as AgentStatus,
  });
  const {code} = await runCommand(
    `drain --agent ${agent} --remaining-ms 1 --wait`,
  );
  t.is(code, 1);
});

test('status exits 5 and prints the address of a control that is down', async t => {
  const {code, out} = await runCommand('status --control 127.0.0.1:1');
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

test('halt follows at the drain deadline without a second signal', async t => {
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

test('an unhandled error is logged as fatal and exits 70', t => {
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
