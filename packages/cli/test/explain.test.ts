import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {runCommand} from './command-runner.js';

function writeLog(...records: readonly Record<string, unknown>[]): string {
  const file = join(mkdtempSync(join(tmpdir(), 'explain-')), 'log');
  const lines = records.map(record =>
    JSON.stringify({role: 'entry', id: 'e1', msg: 'm', ...record}),
  );
  writeFileSync(file, lines.join('\n'));
  return file;
}

const formatTime = (ms: number) => new Date(1_000_000 + ms).toISOString();
const job = '0123456789abcdef';

test('explain prints the lines of a request from all processes in time order, with context events', async t => {
  const entry = writeLog(
    {time: formatTime(0), event: 'job-accepted', job, dueMs: 200},
    {time: formatTime(1), event: 'runs-placed', job, target: 't1'},
    {time: formatTime(5), event: 'job-accepted', job: 'fedcba9876543210'},
    {time: formatTime(900), event: 'job-ended', job, outcome: 'completed'},
  );
  const agent = writeLog(
    {
      time: formatTime(4),
      role: 'agent',
      id: 't1',
      event: 'run-begun',
      run: `${job}.0.0#1`,
    },
    {
      time: formatTime(300),
      role: 'agent',
      id: 't1',
      event: 'executor-lost',
      runs: 1,
    },
    {
      time: formatTime(300),
      role: 'agent',
      id: 't2',
      event: 'executor-lost',
      runs: 9,
    },
  );
  const {code, out} = await runCommand(['explain', job, entry, agent]);
  t.is(code, 0);
  const lines = out.trim().split('\n');
  const summary = lines.filter(line => line.startsWith('in short: '));
  const events = lines
    .slice(0, -summary.length)
    .map(line => /^\+(\d+) ms {2}\S+ \S+ {2}([\w-]+)/.exec(line)!.slice(1));
  t.deepEqual(events, [
    ['0', 'job-accepted'],
    ['1', 'runs-placed'],
    ['4', 'run-begun'],
    ['300', 'executor-lost'],
    ['900', 'job-ended'],
  ]);
  t.deepEqual(summary, [
    'in short: completed 900 ms after its acceptance, due after 200 ms: late by 700 ms',
    'in short: its first run began after 4 ms',
  ]);
});

test('explain reports missing events and skips truncated lines', async t => {
  const file = writeLog(
    {time: formatTime(0), event: 'job-accepted', job},
    {time: formatTime(1), event: 'runs-placed', job, target: 't1'},
  );
  writeFileSync(file, '\n 4.1 host {"time":"2026', {flag: 'a'});
  const {code, out} = await runCommand(['explain', job, file]);
  t.is(code, 0);
  t.regex(out, /missing: no end/);
  t.regex(out, /missing: no run begins/);
});

test('explain exits 5 when no line names the request, and 4 when a file cannot be read', async t => {
  const file = writeLog({time: formatTime(0), event: 'start'});
  t.is((await runCommand(['explain', job, file])).code, 5);
  t.is((await runCommand(['explain', job, '/no/such/file'])).code, 4);
});
