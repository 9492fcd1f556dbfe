import {readFileSync} from 'node:fs';
import {computeLineFit, type Point} from './fit.js';
import type {MemberRole} from './member.js';
import {
  type CostDriver,
  costDrivers,
  type CostSample,
  takeSample,
} from './slope-drivers.js';
import {formatTable} from './table.js';

/** A cost of a role that is computed from a sample. */
interface Cost {
  readonly name: string;
  readonly unit: string;
  readonly read: (sample: CostSample) => number;
}

const roles: readonly MemberRole[] = ['entry', 'agent', 'control'];
const msPerSecond = 1000;
const bytesPerKb = 1000;

function computeRate({elapsedMs}: CostSample, amount: number): number {
  return (amount / elapsedMs) * msPerSecond;
}

const entryHeap: Cost = {
  name: 'entry, heap in use',
  unit: 'MB',
  read: sample => sample.roles.entry.heapMb,
};

/** Costs of all processes of a role together. */
const costs: readonly Cost[] = roles.flatMap(role => [
  {
    name: `${role}, processor`,
    unit: 'ms/s',
    read: sample => computeRate(sample, sample.roles[role].cpuMs),
  },
  {
    name: `${role}, accepted links`,
    unit: 'messages/s',
    read: sample => computeRate(sample, sample.roles[role].messages),
  },
  {
    name: `${role}, accepted links`,
    unit: 'KB/s',
    read: sample => computeRate(sample, sample.roles[role].bytes / bytesPerKb),
  },
  {
    name: `${role}, resident`,
    unit: 'MB',
    read: sample => sample.roles[role].residentMb,
  },
  ...(role === 'entry' ? [entryHeap] : []),
]);

export interface SlopesCommand {
  readonly seed: number;
  readonly repeats: number;
  /** Name of the only driver to measure; unset, all are measured. */
  readonly driverName: string | undefined;
  /** JSON Lines file of samples from earlier runs to fit instead of measuring. */
  readonly from: string | undefined;
}

/** Measures or reads the samples of each driver and prints fits, residuals and the slopes of each run. */
export async function measureSlopes(command: SlopesCommand): Promise<void> {
  const {driverName, from} = command;
  const savedSamples = from === undefined ? undefined : readSamples(from);
  for (const driver of costDrivers) {
    if (driverName !== undefined && driver.name !== driverName) continue;
    const samples = savedSamples ?? (await sampleDriver(driver, command));
    const driverSamples = samples.filter(
      sample => sample.driver === driver.name,
    );
    if (driverSamples.length > 0) printDriver(driver, driverSamples);
  }
}

/** Reads the samples that `trySample` wrote; skips other lines. */
function readSamples(path: string): readonly CostSample[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines
    .filter(line => line.startsWith('{'))
    .map(line => JSON.parse(line) as CostSample);
}

async function sampleDriver(
  driver: CostDriver,
  {seed, repeats}: SlopesCommand,
): Promise<readonly CostSample[]> {
  const samples: CostSample[] = [];
  for (let i = 0; i < repeats; i++) {
    for (const x of driver.points) {
      const sample = await trySample(driver, x, seed + i);
      if (sample !== undefined) samples.push(sample);
    }
  }
  return samples;
}

/** Takes a sample and writes it to stderr as a line of JSON; logs a failure and returns undefined. */
async function trySample(
  driver: CostDriver,
  x: number,
  seed: number,
): Promise<CostSample | undefined> {
  try {
    const sample = await takeSample(driver, x, seed);
    console.error(JSON.stringify(sample));
    return sample;
  } catch (error) {
    console.error(`sampling of driver ${driver.name} at ${x} failed: ${error}`);
    return undefined;
  }
}

function printDriver(
  {name, unit}: CostDriver,
  samples: readonly CostSample[],
): void {
  const loads = samples.map(({loadAverage}) => loadAverage);
  const [minLoad, maxLoad] = [Math.min(...loads), Math.max(...loads)];
  console.log(
    `\nDriver: ${name} (${unit}); load average ${minLoad.toFixed(1)} to ${maxLoad.toFixed(1)}`,
  );
  const nonzeroCosts = costs.filter(({read}) =>
    samples.some(sample => read(sample) > 0),
  );
  console.log(
    formatTable([
      [
        'cost of all processes',
        'unit',
        'slope',
        'at 0',
        'residual',
        'slopes of the runs',
        'points',
      ],
      ...nonzeroCosts.map(cost => describeCost(cost, samples)),
    ]),
  );
}

function describeCost(
  {name, unit, read}: Cost,
  samples: readonly CostSample[],
): readonly string[] {
  const toPoints = (subset: readonly CostSample[]): readonly Point[] =>
    subset.map(sample => ({x: sample.x, y: read(sample)}));
  const seeds = [...new Set(samples.map(({seed}) => seed))];
  const fitsBySeed = seeds.map(seed =>
    computeLineFit(toPoints(samples.filter(sample => sample.seed === seed))),
  );
  const points = toPoints(samples);
  const overallFit = computeLineFit(points);
  return [
    name,
    unit,
    overallFit.slope.toPrecision(3),
    overallFit.intercept.toPrecision(3),
    overallFit.residual.toPrecision(2),
    fitsBySeed.map(({slope}) => slope.toPrecision(3)).join(' '),
    points.map(({x, y}) => `${x.toFixed(1)}:${y.toFixed(1)}`).join(' '),
  ];
}
