import type {LoadOptions} from './load.js';
import {describeBenchLoad} from './bench-load.js';
import {type Measurement, measureLoad} from './measure.js';
import {
  describeExecutor,
  describeWorker,
  type TargetOptions,
} from './site-options.js';
import {formatTable} from './table.js';

interface Deployment {
  readonly name: string;
  readonly service: string;
  readonly targets: readonly TargetOptions[];
  readonly jobsPerSecond: number;
}

const targetCount = 10;

/** A deployment of executors and one of workers, at their current sizes. */
const deployments: readonly Deployment[] = [
  {
    name: '10 executors of 8 slots',
    service: 'tally',
    targets: repeatTarget(describeExecutor('tally')),
    jobsPerSecond: 14,
  },
  {
    name: '10 workers of 64 cores',
    service: 'renewal',
    targets: repeatTarget({
      ...describeWorker('renewal'),
      capacity: {
        kind: 'worker',
        cores: 64,
        memoryMb: 131_072,
        accelerators: 1,
      },
    }),
    jobsPerSecond: 30,
  },
];

function repeatTarget(target: TargetOptions): readonly TargetOptions[] {
  return Array.from({length: targetCount}, () => target);
}

/** Measures both deployments and prints the results. */
export async function measureDeployments(seed: number): Promise<void> {
  for (const deployment of deployments) {
    console.log(
      `\n${deployment.name}, service ${deployment.service}, 2 entries, 3 controls`,
    );
    const measure = (load: Partial<LoadOptions>, proxied = false) =>
      measureLoad(
        {targets: deployment.targets, proxied},
        describeBenchLoad(deployment.service, {seed, ...load}),
        20,
      );
    const steadyLoad = {
      jobs: 15 * deployment.jobsPerSecond,
      arrivals: {
        kind: 'poisson',
        jobsPerSecond: deployment.jobsPerSecond,
      },
    } as const;
    printResponse('response', await measure(steadyLoad));
    printWaste(await measure(steadyLoad, true));
    printResponse('dispatch overhead', await measure(singleTasks));
    printThroughput(await measure(manyTasks));
  }
}

/** One task of negligible run time at a time, so that the response time is the dispatch overhead. */
const singleTasks: Partial<LoadOptions> = {
  jobs: 300,
  arrivals: {kind: 'closed', callers: 1},
  maxTasks: 1,
  minTaskMs: 0.01,
  maxTaskMs: 0.01,
};

/** Large jobs of short tasks from enough callers to saturate the site. */
const manyTasks: Partial<LoadOptions> = {
  jobs: 200,
  arrivals: {kind: 'closed', callers: 16},
  minTasks: 100,
  maxTasks: 100,
  minTaskMs: 1,
  maxTaskMs: 1,
};

function printResponse(name: string, measured: Measurement): void {
  const {counts, response, overIdeal} = measured;
  console.log(
    formatTable([
      [
        name,
        'jobs',
        'complete',
        'p50 ms',
        'p99 ms',
        'over ideal p50 ms',
        'over ideal p99 ms',
      ],
      [
        '',
        counts.jobs,
        counts.complete,
        response.p50Ms,
        response.p99Ms,
        overIdeal.p50Ms,
        overIdeal.p99Ms,
      ],
    ]),
  );
}

function printWaste({counts, wastedPerJob}: Measurement): void {
  console.log(
    `wasted messages a job: ${wastedPerJob?.toFixed(2)} (${counts.complete} of ${counts.jobs} jobs complete, counted at proxies)`,
  );
}

function printThroughput({counts, tasks, elapsedMs, usage}: Measurement): void {
  const computeMicrosPerTask = (cpuMs: number) =>
    Math.round((cpuMs * 1000) / tasks);
  const entryUs = computeMicrosPerTask(usage.entry.cpuMs);
  console.log(
    formatTable([
      [
        'throughput',
        'tasks',
        'complete',
        'tasks/s',
        'entry us/task',
        'tasks/s of one entry core',
        'agent us/task',
        'control us/task',
      ],
      [
        '',
        tasks,
        counts.complete,
        Math.round((tasks * 1000) / elapsedMs),
        entryUs,
        Math.round(1_000_000 / entryUs),
        computeMicrosPerTask(usage.agent.cpuMs),
        computeMicrosPerTask(usage.control.cpuMs),
      ],
    ]),
  );
}
