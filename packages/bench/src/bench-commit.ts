import {randomBytes} from 'node:crypto';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {ControlClient} from '#membership';
import {monotonicClock} from '#model';
import type {Admission} from '#protocol';
import {summarizeTimes} from './latency.js';
import {Site} from './site.js';
import {describeExecutor, describeSite} from './site-options.js';
import {formatTable} from './table.js';

const requestsPerCaller = 200;
const concurrencies = [1, 16, 64];
const requestTimeoutMs = 10_000;
const idBytes = 16;

/** Compares latency and throughput of admissions, which are committed, with look-ups, which are not. */
export async function measureCommit(): Promise<void> {
  const data = mkdtempSync(join(tmpdir(), 'wasabiring-commit-'));
  await measureSite(data);
  rmSync(data, {recursive: true});
}

async function measureSite(data: string): Promise<void> {
  await using site = await Site.start(
    describeSite(data, {targets: [describeExecutor('tally')]}),
  );
  await site.waitUntilReady();
  await using client = new ControlClient({controls: site.controls});
  const opened = await client.request(
    'control.openEntry',
    {
      entry: 'bench',
      address: '127.0.0.1:1',
      place: {
        site: 'gilgit',
        region: 'gilgit-baltistan',
        failureDomain: 'north',
        rack: 'bench',
      },
    },
    getDeadline(),
  );
  const {epoch} = opened.unsafeCoerce();
  const renewal = setInterval(() => {
    void client.request(
      'control.renewEntry',
      {entry: 'bench', epoch, configVersion: 1},
      getDeadline(),
    );
  }, 500);
  const rows: string[][] = [];
  for (const callers of concurrencies) {
    const lookUp = await timeRequests(callers, () =>
      client.request('control.lookup', {jobs: [createId()]}, getDeadline()),
    );
    const admit = await timeRequests(callers, () =>
      client.request(
        'control.admit',
        {admissions: [createAdmission(epoch)]},
        getDeadline(),
      ),
    );
    rows.push([String(callers), 'look-up, no commit', ...lookUp]);
    rows.push([String(callers), 'admission, committed', ...admit]);
  }
  clearInterval(renewal);
  const heading = ['callers', 'request', 'p50 ms', 'p99 ms', 'requests/s'];
  console.log(formatTable([heading, ...rows]));
}

async function timeRequests(
  callers: number,
  sendRequest: () => Promise<unknown>,
): Promise<readonly string[]> {
  const latenciesMs: number[] = [];
  const startedAt = performance.now();
  const runCaller = async () => {
    for (let i = 0; i < requestsPerCaller; i++) {
      const sentAt = performance.now();
      await sendRequest();
      latenciesMs.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({length: callers}, runCaller));
  const seconds = (performance.now() - startedAt) / 1000;
  const {p50Ms, p99Ms} = summarizeTimes(latenciesMs);
  return [
    p50Ms.toFixed(2),
    p99Ms.toFixed(2),
    (latenciesMs.length / seconds).toFixed(0),
  ];
}

function createAdmission(epoch: number): Admission {
  return {
    job: createId(),
    digest: createId(),
    epoch,
    tasks: 1,
    unrepeatable: false,
    ticket: 0,
    startMs: 30_000,
    keepMs: 60_000,
  };
}

function createId(): string {
  return randomBytes(idBytes).toString('hex');
}

function getDeadline(): number {
  return monotonicClock.now() + requestTimeoutMs;
}
