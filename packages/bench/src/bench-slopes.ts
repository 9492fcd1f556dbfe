import {describeBenchLoad} from './bench-load.js';
import {type Fit, computeLine, type Point} from './fit.js';
import {measureIdle, measureLoad, type RoleUsage} from './measure.js';
import type {MemberRole} from './member.js';
import {describeExecutor, type TargetOptions} from './site-options.js';
import {formatTable} from './table.js';

const repeats = 2;
const runMs = 6000;

interface Sample {
  readonly x: number;
  readonly elapsedMs: number;
  readonly usage: RoleUsage;
}

/** One cost of a role against its driver. */
interface Slope {
  readonly name: string;
  readonly role: MemberRole;
  readonly unit: string;
  readonly read: (sample: Sample) => number;
}

interface Experiment {
  readonly driver: string;
  readonly points: readonly number[];
  readonly sample: (x: number, seed: number) => Promise<Sample>;
  readonly slopes: readonly Slope[];
}

const readCpu = (role: MemberRole) => (sample: Sample) =>
  (sample.usage[role].cpuMs / sample.elapsedMs) * 1000;
const readMemory = (role: MemberRole) => (sample: Sample) =>
  sample.usage[role].residentMb;

const describeCpu = (role: MemberRole): Slope => ({
  name: `processor time of all ${role} processes`,
  role,
  unit: 'ms/s',
  read: readCpu(role),
});
const describeMemory = (role: MemberRole): Slope => ({
  name: `memory of all ${role} processes`,
  role,
  unit: 'MB',
  read: readMemory(role),
});

const targets: readonly TargetOptions[] = Array.from({length: 8}, () =>
  describeExecutor('tally'),
);

async function sampleRate(
  jobsPerSecond: number,
  tasksPerJob: number,
  x: number,
  seed: number,
): Promise<Sample> {
  const measured = await measureLoad(
    {targets},
    describeBenchLoad('tally', {
      seed,
      jobs: Math.round((jobsPerSecond * runMs) / 1000),
      arrivals: {kind: 'poisson', jobsPerSecond},
      minTasks: tasksPerJob,
      maxTasks: tasksPerJob,
      minTaskMs: 1,
      maxTaskMs: 10,
    }),
    20,
  );
  return {x, elapsedMs: measured.elapsedMs, usage: measured.usage};
}

async function sampleAgents(count: number): Promise<Sample> {
  const usage = await measureIdle(
    {targets: Array.from({length: count}, () => describeExecutor('tally'))},
    runMs,
  );
  return {x: count, elapsedMs: runMs, usage};
}

const tasksPerJob = 20;
const experiments: readonly Experiment[] = [
  {
    driver: `tasks a second, in jobs of ${tasksPerJob}`,
    points: [200, 400, 800, 1600],
    sample: (rate, seed) =>
      sampleRate(rate / tasksPerJob, tasksPerJob, rate, seed),
    slopes: [
      describeCpu('entry'),
      describeCpu('agent'),
      describeCpu('control'),
    ],
  },
  {
    driver: 'jobs a second, of one task each',
    points: [25, 50, 100, 200],
    sample: (rate, seed) => sampleRate(rate, 1, rate, seed),
    slopes: [
      describeCpu('entry'),
      describeCpu('control'),
      describeMemory('control'),
    ],
  },
  {
    driver: 'idle agents',
    points: [4, 8, 16, 32],
    sample: sampleAgents,
    slopes: [
      describeCpu('control'),
      describeCpu('entry'),
      describeCpu('agent'),
      describeMemory('control'),
      describeMemory('entry'),
    ],
  },
];

/** Measures the slope of each cost against its driver and prints fits, residuals and spread. */
export async function measureSlopes(seed: number): Promise<void> {
  for (const experiment of experiments) {
    console.log(
      `\nDriver: ${experiment.driver}, at ${experiment.points.join(', ')}`,
    );
    const runs: (readonly Sample[])[] = [];
    for (let i = 0; i < repeats; i++) {
      const samples: Sample[] = [];
      for (const x of experiment.points) {
        samples.push(await experiment.sample(x, seed + i));
      }
      runs.push(samples);
    }
    console.log(
      formatTable([
        [
          'cost',
          'unit',
          'slope',
          'at 0',
          'residual',
          'slopes of the runs',
          'points',
        ],
        ...experiment.slopes.map(slope => describeSlope(slope, runs)),
      ]),
    );
  }
}

function describeSlope(
  {name, unit, read}: Slope,
  runs: readonly (readonly Sample[])[],
): readonly string[] {
  const toPoints = (samples: readonly Sample[]): readonly Point[] =>
    samples.map(sample => ({x: sample.x, y: read(sample)}));
  const all: Fit = computeLine(runs.flatMap(toPoints));
  const each = runs.map(samples => computeLine(toPoints(samples)).slope);
  const points = runs.flatMap(toPoints).map(({x, y}) => `${x}:${y.toFixed(1)}`);
  return [
    name,
    unit,
    all.slope.toPrecision(3),
    all.intercept.toPrecision(3),
    all.residual.toPrecision(2),
    each.map(slope => slope.toPrecision(3)).join(' '),
    points.join(' '),
  ];
}
