import {readFileSync} from 'node:fs';
import {request} from 'undici';
import {ControlClient} from '#membership';
import {monotonicClock} from '#model';
import {describeBenchLoad} from './bench-load.js';
import {countOutcomes} from './check.js';
import {Crowd} from './crowd.js';
import {computeLine} from './fit.js';
import {lendFolder} from './folder.js';
import {findLeader} from './leader.js';
import {planLoad} from './load.js';
import {runLoad} from './run-load.js';
import {Site} from './site.js';
import {defaultConfiguration, describeSite} from './site-options.js';
import {formatTable} from './table.js';
import {sumUsage, type Usage} from './usage.js';
import {sleepFor, waitUntil} from './wait.js';

/** Targets in view, up to the letter's 1,300. */
const sizes = [100, 400, 800, 1300];
const teams = 150;
const idleMs = 8000;
const settleMs = 4000;
const joinLimitMs = 90_000;
const changeLimitMs = 60_000;
const jobs = 60;
const tasksPerJob = 100;
const jobsPerSecond = 10;
const msPerSecond = 1000;

/** What one size of site came to. */
interface ScaleSample {
  readonly targets: number;
  /** Processor time while no job came, in ms a second. */
  readonly idle: Readonly<Record<Part, number>>;
  readonly memoryMb: Readonly<Record<Part, number>>;
  readonly entryMsPerTask: number;
  readonly agentMsPerTask: number;
  readonly changeMs: number;
  readonly takeoverMs: number;
  readonly complete: number;
}

/** `agents` is all of them together; the others are one process. */
type Part = 'leader' | 'follower' | 'entry' | 'agents';
const parts: readonly Part[] = ['leader', 'follower', 'entry', 'agents'];

/** Measures entries, agents and controls with up to 1,300 targets and 150 teams in view. */
export async function measureScale(seed: number): Promise<void> {
  const samples: ScaleSample[] = [];
  for (const targets of sizes) {
    const sample = await sampleSize(targets, seed);
    console.error(JSON.stringify(sample));
    samples.push(sample);
  }
  printSamples(samples);
}

function sampleSize(targets: number, seed: number): Promise<ScaleSample> {
  return lendFolder('scale', data => sampleSite(data, targets, seed));
}

async function sampleSite(
  data: string,
  targets: number,
  seed: number,
): Promise<ScaleSample> {
  await using site = await Site.start(
    describeSite(data, {
      targets: [],
      configuration: {...defaultConfiguration, teams: describeTeams()},
    }),
  );
  await site.waitUntilReady();
  await using client = new ControlClient({controls: site.controls});
  await using crowd = await Crowd.start(site, 'tally', targets);
  await waitUntil('every target is in view', joinLimitMs, async () =>
    (await Promise.all(site.entryUrls.map(countTargets))).every(
      count => count >= targets,
    ),
  );
  await sleepFor(settleMs);
  const leader = (await findLeader(site)).pid;
  const pids: Readonly<Record<Part, readonly number[]>> = {
    leader: [leader],
    follower: [site.list('control').find(({pid}) => pid !== leader)!.pid],
    entry: [site.list('entry')[0]!.pid],
    agents: crowd.pids,
  };
  const read = () => readParts(part => sumUsage(pids[part]));
  const before = read();
  await sleepFor(idleMs);
  const after = read();
  const work = await submitJobs(site, seed);
  const busy = read();
  return {
    targets,
    idle: readParts(
      part => ((after[part].cpuMs - before[part].cpuMs) / idleMs) * msPerSecond,
    ),
    memoryMb: readParts(part => busy[part].residentMb),
    entryMsPerTask: computePerTask(before, after, busy, 'entry', work.seconds),
    agentMsPerTask: computePerTask(before, after, busy, 'agents', work.seconds),
    changeMs: await measureChange(client, targets),
    takeoverMs: await measureTakeover(site),
    complete: work.complete,
  };
}

function computePerTask(
  before: Readonly<Record<Part, Usage>>,
  after: Readonly<Record<Part, Usage>>,
  busy: Readonly<Record<Part, Usage>>,
  part: Part,
  seconds: number,
): number {
  const idlePerSecond =
    ((after[part].cpuMs - before[part].cpuMs) / idleMs) * msPerSecond;
  const spentMs =
    busy[part].cpuMs - after[part].cpuMs - idlePerSecond * seconds;
  return spentMs / (jobs * tasksPerJob);
}

async function submitJobs(site: Site, seed: number) {
  const load = describeBenchLoad('tally', {
    seed,
    jobs,
    arrivals: {kind: 'poisson', jobsPerSecond},
    minTasks: tasksPerJob,
    maxTasks: tasksPerJob,
    minTaskMs: 20,
    maxTaskMs: 80,
  });
  const startedAt = performance.now();
  const records = await runLoad(planLoad(load), {
    entries: [site.entryUrls[0]!],
    seed,
    arrivals: load.arrivals,
    persistence: {maxAttempts: 3, maxPauseMs: 1000},
    doubledShare: 0,
  });
  const seconds = (performance.now() - startedAt) / msPerSecond;
  return {seconds, complete: countOutcomes([], records).complete};
}

/** The time from sending a change until every process reports it in force. */
async function measureChange(
  client: ControlClient,
  targets: number,
): Promise<number> {
  const ask = async () =>
    (
      await client.request(
        'control.configStatus',
        {},
        monotonicClock.now() + changeLimitMs,
      )
    ).unsafeCoerce();
  const {current} = await ask();
  const startedAt = performance.now();
  await client.request(
    'control.applyConfig',
    {
      changeId: `scale-${current.version}`,
      expectedVersion: current.version,
      author: 'bench',
      source: {
        ...current.source,
        base: `${current.source.base}\n# changed\n`,
      },
    },
    monotonicClock.now() + changeLimitMs,
  );
  await waitUntil('the change is in force', changeLimitMs, async () => {
    const {processes} = await ask();
    const reached = processes.filter(
      ({role, version}) => role === 'agent' && version > current.version,
    );
    return (
      reached.length >= targets &&
      processes.every(({version}) => version > current.version)
    );
  });
  return performance.now() - startedAt;
}

/** The time that the heir takes to fence a killed entry's epoch at every agent. */
async function measureTakeover(site: Site): Promise<number> {
  const [victim, heir] = site.list('entry');
  await site.kill(victim!.name, 'SIGKILL');
  let fenceMs: number | undefined;
  await waitUntil('the heir has taken over', joinLimitMs, async () => {
    fenceMs = readFenceMs(heir!.plan.log);
    return fenceMs !== undefined;
  });
  return fenceMs!;
}

function readFenceMs(log: string): number | undefined {
  const line = readFileSync(log, 'utf8')
    .split('\n')
    .find(text => text.includes('"took-over"'));
  if (line === undefined) return undefined;
  return (JSON.parse(line) as {fenceMs: number}).fenceMs;
}

async function countTargets(url: string): Promise<number> {
  const response = await request(`${url}/v1/status`);
  const status = (await response.body.json()) as {readonly targets: number};
  return status.targets;
}

function describeTeams(): Readonly<Record<string, unknown>> {
  const filler = Array.from({length: teams - 2}, (_, i) => [
    `team-${i}`,
    {tasks_per_second: 200, burst_tasks: 400},
  ]);
  return {...defaultConfiguration.teams, ...Object.fromEntries(filler)};
}

function readParts<Value>(
  read: (part: Part) => Value,
): Readonly<Record<Part, Value>> {
  return {
    leader: read('leader'),
    follower: read('follower'),
    entry: read('entry'),
    agents: read('agents'),
  };
}

type Row = readonly [string, string, (one: ScaleSample) => number];

function buildRow(...row: Row): Row {
  return row;
}

function printSamples(samples: readonly ScaleSample[]): void {
  const rows: readonly Row[] = [
    ...parts.map(part =>
      buildRow(`${part}, idle processor`, 'ms/s', one => one.idle[part]),
    ),
    ...parts.map(part =>
      buildRow(`${part}, memory`, 'MB', one => one.memoryMb[part]),
    ),
    ['entry, processor a task', 'ms', one => one.entryMsPerTask],
    ['agent, processor a task', 'ms', one => one.agentMsPerTask],
    ['configuration in force', 'ms', one => one.changeMs],
    ['fencing a dead entry', 'ms', one => one.takeoverMs],
    ['complete jobs', `of ${jobs}`, one => one.complete],
  ];
  const heading = ['cost', 'unit', ...sizes.map(String), 'slope', 'residual'];
  console.log(
    formatTable([
      heading,
      ...rows.map(([name, unit, readValue]) => {
        const points = samples.map(one => ({
          x: one.targets,
          y: readValue(one),
        }));
        const {slope, residual} = computeLine(points);
        return [
          name,
          unit,
          ...points.map(({y}) => y.toFixed(2)),
          slope.toPrecision(3),
          residual.toPrecision(2),
        ];
      }),
    ]),
  );
}
