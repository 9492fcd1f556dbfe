import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {describeBenchLoad} from './bench-load.js';
import {countOutcomes} from './check.js';
import {AgentFleet} from './agent-fleet.js';
import {planLoad} from './load.js';
import {runLoad} from './run-load.js';
import {Site} from './site.js';
import {describeSite} from './site-options.js';
import {formatTable} from './table.js';
import {sumUsage} from './usage.js';
import {sleepFor, waitUntil} from './wait.js';

/** Shape of a load. With few targets a message to one carries many tasks, with many targets one task. */
interface LoadShape {
  readonly targets: number;
  readonly tasksPerJob: number;
  readonly tasksPerSecond: number;
}

/** 2,300 tasks/s is the share of one entry when 13 entries handle 30,000 tasks/s. */
const shapes: readonly LoadShape[] = [
  {targets: 24, tasksPerJob: 170, tasksPerSecond: 2300},
  {targets: 200, tasksPerJob: 170, tasksPerSecond: 2300},
  {targets: 24, tasksPerJob: 10, tasksPerSecond: 2300},
  {targets: 200, tasksPerJob: 170, tasksPerSecond: 5000},
];
const loadSeconds = 6;
const runsPerShape = 3;
const settleMs = 1000;
const joinTimeoutMs = 60_000;
const microsPerMs = 1000;
const bytesPerMb = 2 ** 20;

/** Processor time of the entry and of all agents in us per task, and how many of the `jobs` were complete. */
interface EntryRun {
  readonly entry: number;
  readonly agents: number;
  /** Resident memory of the entry after the run. */
  readonly memoryMb: number;
  readonly complete: number;
  readonly jobs: number;
}

/** Measures the processor time per task of one entry at a steady rate, for several load shapes. */
export async function measureEntry(seed: number): Promise<void> {
  const rows: (readonly string[])[] = [];
  for (const shape of shapes) {
    const data = mkdtempSync(join(tmpdir(), 'wasabiring-entry-'));
    rows.push(formatRow(shape, await measureShape(data, shape, seed)));
    rmSync(data, {recursive: true});
  }
  const heading = [
    'targets',
    'tasks a job',
    'tasks/s',
    'entry, us a task',
    'agents, us a task',
    'entry memory, MB',
    'complete',
  ];
  console.log(formatTable([heading, ...rows]));
}

async function measureShape(
  data: string,
  shape: LoadShape,
  seed: number,
): Promise<readonly EntryRun[]> {
  await using site = await Site.start(
    describeSite(data, {targets: [], entries: 1}),
  );
  await site.waitUntilReady();
  await using fleet = await AgentFleet.start(site, 'tally', shape.targets);
  const url = site.entryUrls[0]!;
  await waitUntil('the entry knows every target', joinTimeoutMs, async () => {
    const {targets} = await readStatus(url);
    return targets >= shape.targets;
  });
  const measured: EntryRun[] = [];
  await measureRun(url, fleet, shape, seed + runsPerShape);
  for (let i = 0; i < runsPerShape; i++) {
    await sleepFor(settleMs);
    measured.push(await measureRun(url, fleet, shape, seed + i));
  }
  return measured;
}

async function measureRun(
  url: string,
  fleet: AgentFleet,
  {tasksPerJob, tasksPerSecond}: LoadShape,
  seed: number,
): Promise<EntryRun> {
  const jobsPerSecond = tasksPerSecond / tasksPerJob;
  const load = describeBenchLoad('tally', {
    seed,
    jobs: Math.round(jobsPerSecond * loadSeconds),
    arrivals: {kind: 'poisson', jobsPerSecond},
    minTasks: tasksPerJob,
    maxTasks: tasksPerJob,
    minTaskMs: 20,
    maxTaskMs: 80,
  });
  const plan = planLoad(load);
  const before = await readCosts(url, fleet);
  const records = await runLoad(plan, {
    entries: [url],
    seed,
    arrivals: load.arrivals,
    retryPolicy: {maxAttempts: 1, maxPauseMs: 0},
    duplicateShare: 0,
  });
  const after = await readCosts(url, fleet);
  const computeMicrosPerTask = (fromMs: number, toMs: number) =>
    ((toMs - fromMs) * microsPerMs) / (load.jobs * tasksPerJob);
  return {
    entry: computeMicrosPerTask(before.entry, after.entry),
    agents: computeMicrosPerTask(before.agents, after.agents),
    memoryMb: after.memoryMb,
    complete: countOutcomes([], records).complete,
    jobs: load.jobs,
  };
}

async function readCosts(url: string, fleet: AgentFleet) {
  const status = await readStatus(url);
  return {
    entry: status.process.cpuMs,
    agents: sumUsage(fleet.pids).cpuMs,
    memoryMb: status.process.residentBytes / bytesPerMb,
  };
}

interface EntryStatus {
  readonly targets: number;
  readonly process: {readonly cpuMs: number; readonly residentBytes: number};
}

async function readStatus(url: string): Promise<EntryStatus> {
  const response = await request(`${url}/v1/status`);
  return (await response.body.json()) as EntryStatus;
}

function formatRow(
  {targets, tasksPerJob, tasksPerSecond}: LoadShape,
  measured: readonly EntryRun[],
): readonly string[] {
  const list = (read: (run: EntryRun) => number) =>
    measured.map(run => read(run).toFixed(0)).join(', ');
  const sum = (read: (run: EntryRun) => number) =>
    measured.reduce((total, run) => total + read(run), 0);
  return [
    String(targets),
    String(tasksPerJob),
    String(tasksPerSecond),
    list(({entry}) => entry),
    list(({agents}) => agents),
    list(({memoryMb}) => memoryMb),
    `${sum(({complete}) => complete)} of ${sum(({jobs}) => jobs)}`,
  ];
}
