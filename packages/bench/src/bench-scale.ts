import {readFileSync} from 'node:fs';
import {request} from 'undici';
import {ControlClient} from '#membership';
import {monotonicClock} from '#model';
import {describeBenchLoad} from './bench-load.js';
import {countOutcomes} from './check.js';
import {AgentFleet} from './agent-fleet.js';
import {computeLineFit} from './fit.js';
import {useTempFolder} from './folder.js';
import {findLeader} from './leader.js';
import {planLoad} from './load.js';
import {runLoad} from './run-load.js';
import {Site} from './site.js';
import {defaultConfiguration, describeSite} from './site-options.js';
import {formatTable} from './table.js';
import {sumUsage, type Usage} from './usage.js';
import {sleepFor, waitUntil} from './wait.js';

/** Numbers of targets known to each entry, up to the required 1,300. */
const targetCounts = [100, 400, 800, 1300];
const teamCount = 150;
const idleMs = 8000;
const settleMs = 4000;
const joinTimeoutMs = 90_000;
const changeTimeoutMs = 60_000;
const jobCount = 60;
const tasksPerJob = 100;
const jobsPerSecond = 10;
const msPerSecond = 1000;

/** Measurements of a site with one number of targets. */
interface ScaleSample {
  readonly targets: number;
  /** Processor time without load, in ms per second. */
  readonly idle: Readonly<Record<Component, number>>;
  readonly memoryMb: Readonly<Record<Component, number>>;
  readonly entryMsPerTask: number;
  readonly agentMsPerTask: number;
  readonly changeMs: number;
  readonly takeoverMs: number;
  readonly complete: number;
}

/** `agents` means all agents together; the others are one process each. */
type Component = 'leader' | 'follower' | 'entry' | 'agents';
const components: readonly Component[] = [
  'leader',
  'follower',
  'entry',
  'agents',
];

/** Measures entries, agents and controls with up to 1,300 targets and 150 teams. */
export async function measureScale(seed: number): Promise<void> {
  const samples: ScaleSample[] = [];
  for (const targets of targetCounts) {
    const sample = await sampleTargets(targets, seed);
    console.error(JSON.stringify(sample));
    samples.push(sample);
  }
  printSamples(samples);
}

function sampleTargets(targets: number, seed: number): Promise<ScaleSample> {
  return useTempFolder('scale', data => sampleSite(data, targets, seed));
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
  await using fleet = await AgentFleet.start(site, 'tally', targets);
  await waitUntil('every entry knows every target', joinTimeoutMs, async () =>
    (await Promise.all(site.entryUrls.map(countTargets))).every(
      count => count >= targets,
    ),
  );
  await sleepFor(settleMs);
  const leader = (await findLeader(site)).pid;
  const pids: Readonly<Record<Component, readonly number[]>> = {
    leader: [leader],
    follower: [site.list('control').find(({pid}) => pid !== leader)!.pid],
    entry: [site.list('entry')[0]!.pid],
    agents: fleet.pids,
  };
  const read = () => readComponents(component => sumUsage(pids[component]));
  const beforeIdle = read();
  await sleepFor(idleMs);
  const afterIdle = read();
  const result = await submitJobs(site, seed);
  const afterLoad = read();
  return {
    targets,
    idle: readComponents(
      component =>
        ((afterIdle[component].cpuMs - beforeIdle[component].cpuMs) / idleMs) *
        msPerSecond,
    ),
    memoryMb: readComponents(component => afterLoad[component].residentMb),
    entryMsPerTask: computeCpuPerTask(
      beforeIdle,
      afterIdle,
      afterLoad,
      'entry',
      result.seconds,
    ),
    agentMsPerTask: computeCpuPerTask(
      beforeIdle,
      afterIdle,
      afterLoad,
      'agents',
      result.seconds,
    ),
    changeMs: await measureChange(client, targets),
    takeoverMs: await measureTakeover(site),
    complete: result.complete,
  };
}

function computeCpuPerTask(
  beforeIdle: Readonly<Record<Component, Usage>>,
  afterIdle: Readonly<Record<Component, Usage>>,
  afterLoad: Readonly<Record<Component, Usage>>,
  component: Component,
  seconds: number,
): number {
  const idlePerSecond =
    ((afterIdle[component].cpuMs - beforeIdle[component].cpuMs) / idleMs) *
    msPerSecond;
  const spentMs =
    afterLoad[component].cpuMs -
    afterIdle[component].cpuMs -
    idlePerSecond * seconds;
  return spentMs / (jobCount * tasksPerJob);
}

async function submitJobs(site: Site, seed: number) {
  const load = describeBenchLoad('tally', {
    seed,
    jobs: jobCount,
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
    retryPolicy: {maxAttempts: 3, maxPauseMs: 1000},
    duplicateShare: 0,
  });
  const seconds = (performance.now() - startedAt) / msPerSecond;
  return {seconds, complete: countOutcomes([], records).complete};
}

/** Measures the time in ms from sending a configuration change until every process reports it in force. */
async function measureChange(
  client: ControlClient,
  targets: number,
): Promise<number> {
  const readStatus = async () =>
    (
      await client.request(
        'control.configStatus',
        {},
        monotonicClock.now() + changeTimeoutMs,
      )
    ).unsafeCoerce();
  const {current} = await readStatus();
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
    monotonicClock.now() + changeTimeoutMs,
  );
  await waitUntil('the change is in force', changeTimeoutMs, async () => {
    const {processes} = await readStatus();
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

/** Kills an entry; returns the time in ms that its successor takes to fence its epoch at every agent. */
async function measureTakeover(site: Site): Promise<number> {
  const [victim, successor] = site.list('entry');
  await site.kill(victim!.name, 'SIGKILL');
  let fenceMs: number | undefined;
  await waitUntil('the successor has taken over', joinTimeoutMs, async () => {
    fenceMs = readFenceMs(successor!.plan.log);
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
  const extraTeams = Array.from({length: teamCount - 2}, (_, i) => [
    `team-${i}`,
    {tasks_per_second: 200, burst_tasks: 400},
  ]);
  return {...defaultConfiguration.teams, ...Object.fromEntries(extraTeams)};
}

function readComponents<Value>(
  read: (component: Component) => Value,
): Readonly<Record<Component, Value>> {
  return {
    leader: read('leader'),
    follower: read('follower'),
    entry: read('entry'),
    agents: read('agents'),
  };
}

type Row = readonly [string, string, (sample: ScaleSample) => number];

function buildRow(...row: Row): Row {
  return row;
}

function printSamples(samples: readonly ScaleSample[]): void {
  const rows: readonly Row[] = [
    ...components.map(component =>
      buildRow(
        `${component}, idle processor`,
        'ms/s',
        sample => sample.idle[component],
      ),
    ),
    ...components.map(component =>
      buildRow(
        `${component}, memory`,
        'MB',
        sample => sample.memoryMb[component],
      ),
    ),
    ['entry, processor a task', 'ms', sample => sample.entryMsPerTask],
    ['agent, processor a task', 'ms', sample => sample.agentMsPerTask],
    ['configuration in force', 'ms', sample => sample.changeMs],
    ['fencing a dead entry', 'ms', sample => sample.takeoverMs],
    ['complete jobs', `of ${jobCount}`, sample => sample.complete],
  ];
  const heading = [
    'cost',
    'unit',
    ...targetCounts.map(String),
    'slope',
    'residual',
  ];
  console.log(
    formatTable([
      heading,
      ...rows.map(([name, unit, readValue]) => {
        const points = samples.map(sample => ({
          x: sample.targets,
          y: readValue(sample),
        }));
        const {slope, residual} = computeLineFit(points);
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
