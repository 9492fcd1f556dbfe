import {connect, type Socket} from 'node:net';
import {ControlClient} from '#membership';
import {failUnreachable, monotonicClock} from '#model';
import {describeBenchLoad} from './bench-load.js';
import type {SiteCosts} from './costs.js';
import {measureOperation, measureLoad} from './measure.js';
import type {Site} from './site.js';
import {
  defaultConfiguration,
  describeExecutor,
  type SiteOptions,
} from './site-options.js';
import {sleepFor} from './wait.js';

/** Costs measured at one value of a driver. */
export interface CostSample extends SiteCosts {
  readonly driver: string;
  readonly seed: number;
  /** The value of the driver that was reached. */
  readonly x: number;
}

/** A quantity that the costs of the system may depend on. */
export interface CostDriver {
  readonly name: string;
  readonly unit: string;
  /** A rate is corrected for the run's actual duration, which may exceed the plan; a level is exact. */
  readonly kind: 'rate' | 'level';
  readonly points: readonly number[];
  readonly sample: (x: number, seed: number) => Promise<SiteCosts>;
}

const runMs = 6000;
const msPerSecond = 1000;
const tasksPerJob = 20;
const requestTimeoutMs = 10_000;

function listTargets(count: number) {
  return Array.from({length: count}, () => describeExecutor('tally'));
}

const proxied = {proxied: true} as const;

async function sampleRate(
  jobsPerSecond: number,
  tasks: number,
  seed: number,
  overrides: Partial<SiteOptions> = {},
  teams: readonly string[] = ['herd-registry'],
): Promise<SiteCosts> {
  const {costs} = await measureLoad(
    {...proxied, targets: listTargets(8), ...overrides},
    describeBenchLoad('tally', {
      seed,
      teams,
      jobs: Math.round((jobsPerSecond * runMs) / msPerSecond),
      arrivals: {kind: 'poisson', jobsPerSecond},
      minTasks: tasks,
      maxTasks: tasks,
      minTaskMs: 1,
      maxTaskMs: 10,
    }),
    20,
  );
  return costs;
}

function sampleIdle(overrides: Partial<SiteOptions>): Promise<SiteCosts> {
  return measureOperation({...proxied, ...overrides}, () => sleepFor(runMs));
}

function sampleTeams(count: number, seed: number): Promise<SiteCosts> {
  const names = Array.from({length: count}, (_, i) => `team-${i}`);
  const quota = {tasks_per_second: 100_000, burst_tasks: 100_000};
  const teams = Object.fromEntries(names.map(name => [name, quota]));
  return sampleRate(
    20,
    tasksPerJob,
    seed,
    {configuration: {...defaultConfiguration, teams}},
    names,
  );
}

const idleAgents = 8;

/** Lease durations as a multiple of the renewal interval. */
const renewalsPerLease = 3;

function sampleRenewals(perSecond: number): Promise<SiteCosts> {
  const intervalMs = Math.round((idleAgents * msPerSecond) / perSecond);
  return sampleIdle({
    targets: listTargets(idleAgents),
    leases: {
      renewal_interval_ms: intervalMs,
      entry_lease_ms: renewalsPerLease * intervalMs,
      target_lease_ms: renewalsPerLease * intervalMs,
    },
  });
}

function sampleConnections(count: number): Promise<SiteCosts> {
  return measureOperation(
    {...proxied, targets: listTargets(2), entries: 1},
    async site => {
      const sockets = await openSockets(site.entryUrls[0]!, count);
      await sleepFor(runMs);
      for (const socket of sockets) socket.destroy();
    },
  );
}

function openSockets(url: string, count: number): Promise<readonly Socket[]> {
  const {hostname, port} = new URL(url);
  return Promise.all(
    Array.from({length: count}, async () => {
      const socket = connect(Number(port), hostname);
      await new Promise<void>((resolve, reject) => {
        socket.once('connect', resolve);
        socket.once('error', reject);
      });
      return socket;
    }),
  );
}

/** Applies configuration changes at a constant rate during the run. */
function sampleConfigurationChanges(perSecond: number): Promise<SiteCosts> {
  return measureOperation({...proxied, targets: listTargets(8)}, site =>
    applyConfigurationChanges(site, (perSecond * runMs) / msPerSecond),
  );
}

async function applyConfigurationChanges(
  site: Site,
  count: number,
): Promise<void> {
  await using client = new ControlClient({controls: site.controls});
  const readConfiguration = async () => {
    const deadline = monotonicClock.now() + requestTimeoutMs;
    const status = await client.request('control.configStatus', {}, deadline);
    return status.unsafeCoerce().current;
  };
  const startedAt = performance.now();
  for (let i = 0; i < count; i++) {
    const {version, source} = await readConfiguration();
    const changed = {...source, base: `${source.base}\n# change ${i}\n`};
    const change = {
      changeId: `slopes-${i}`,
      expectedVersion: version,
      author: 'bench',
      source: changed,
    };
    const deadline = monotonicClock.now() + requestTimeoutMs;
    await client.request('control.applyConfig', change, deadline);
    const dueMs = ((i + 1) * runMs) / count;
    await sleepFor(startedAt + dueMs - performance.now());
  }
}

/** Measures the costs at one value of a driver. */
export async function takeSample(
  driver: CostDriver,
  x: number,
  seed: number,
): Promise<CostSample> {
  const costs = await driver.sample(x, seed);
  const reachedValue = computeReachedValue(driver, x, costs.elapsedMs);
  return {driver: driver.name, seed, x: reachedValue, ...costs};
}

function computeReachedValue(
  {kind}: CostDriver,
  x: number,
  elapsedMs: number,
): number {
  switch (kind) {
    case 'rate':
      return (x * runMs) / elapsedMs;
    case 'level':
      return x;
    default:
      return failUnreachable(kind);
  }
}

/** Every driver, with four values far apart. */
export const costDrivers: readonly CostDriver[] = [
  {
    name: 'tasks',
    kind: 'rate',
    unit: `tasks a second, in jobs of ${tasksPerJob}`,
    points: [200, 400, 800, 1600],
    sample: (rate, seed) => sampleRate(rate / tasksPerJob, tasksPerJob, seed),
  },
  {
    name: 'jobs',
    kind: 'rate',
    unit: 'jobs a second, of one task each',
    points: [25, 50, 100, 200],
    sample: (rate, seed) => sampleRate(rate, 1, seed),
  },
  {
    name: 'targets',
    kind: 'level',
    unit: 'idle targets in view',
    points: [4, 8, 16, 24],
    sample: count => sampleIdle({targets: listTargets(count)}),
  },
  {
    name: 'entries',
    kind: 'level',
    unit: `idle entries that hold leases, with ${idleAgents} targets`,
    points: [1, 2, 4, 6],
    sample: entries => sampleIdle({entries, targets: listTargets(idleAgents)}),
  },
  {
    name: 'renewals',
    kind: 'level',
    unit: `renewals a second of ${idleAgents} idle targets; entries renew as often`,
    points: [2, 4, 8, 16],
    sample: sampleRenewals,
  },
  {
    name: 'teams',
    kind: 'level',
    unit: 'teams that submit, 400 tasks a second in all',
    points: [10, 20, 40, 150],
    sample: sampleTeams,
  },
  {
    name: 'connections',
    kind: 'level',
    unit: 'open connections of callers at one entry',
    points: [100, 200, 400, 800],
    sample: sampleConnections,
  },
  {
    name: 'changes',
    kind: 'rate',
    unit: 'changes of configuration a second, with 8 targets',
    points: [0.5, 1, 2, 4],
    sample: sampleConfigurationChanges,
  },
];
