import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import test, {type ExecutionContext} from 'ava';
import {serveRpc} from './command-runner.js';

/** Starts a single control replica with its settings and data in a temporary folder. */
function startControl(t: ExecutionContext, listen: string): ChildProcess {
  const folder = mkdtempSync(join(tmpdir(), 'process-'));
  const settings = join(folder, 'control.toml');
  writeFileSync(
    settings,
    `[process]
id = "control-1"
site = "gilgit"
region = "karakoram"
failure_domain = "a"
[control]
listen = "${listen}"
data = "${join(folder, 'data')}"
members = [{member = "control-1", address = "127.0.0.1:1"}]
`,
  );
  const child = spawn(
    process.execPath,
    ['build/packages/cli/src/main.js', 'control', '--settings', settings],
    {stdio: ['ignore', 'ignore', 'pipe']},
  );
  t.teardown(() => {
    child.kill('SIGKILL');
    rmSync(folder, {recursive: true, force: true});
  });
  return child;
}

test('a process logs JSON lines, drains on SIGTERM and exits 0', async t => {
  const child = startControl(t, '127.0.0.1:0');
  const events: string[] = [];
  for await (const line of createInterface({input: child.stderr!})) {
    const {event, role, id} = JSON.parse(line);
    t.deepEqual([role, id], ['control', 'control-1']);
    events.push(event);
    if (event === 'ready') child.kill('SIGTERM');
  }
  if (child.exitCode === null) await once(child, 'exit');
  t.is(child.exitCode, 0);
  t.is(events[0], 'start');
  t.deepEqual(events.slice(-2), ['signal', 'exit']);
});

test('a process whose address is in use exits 4', async t => {
  const child = startControl(t, await serveRpc(t, {}));
  const [code] = await once(child, 'exit');
  t.is(code, 4);
});
