import {readFileSync} from 'node:fs';
import {computeLine, type Point} from './fit.js';
import type {MemberRole} from './member.js';
import {
  type Driver,
  drivers,
  type Sample,
  takeSample,
} from './slope-drivers.js';
import {formatTable} from './table.js';

/** One cost of a role, from a sample. */
interface Cost {
  readonly name: string;
  readonly unit: string;
  readonly read: (sample: Sample) => number;
}

const roles: readonly MemberRole[] = ['entry', 'agent', 'control'];
const msPerSecond = 1000;
const bytesPerKb = 1000;

function rate({elapsedMs}: Sample, amount: number): number {
  return (amount / elapsedMs) * msPerSecond;
}

const entryHeap: Cost = {
  name: 'entry, heap in use',
  unit: 'MB',
  read: sample => sample.roles.entry.heapMb,
};

/** Costs of all the processes of a role together. */
const costs: readonly Cost[] = roles.flatMap(role => [
  {
    name: `${role}, processor`,
    unit: 'ms/s',
    read: sample => rate(sample, sample.roles[role].cpuMs),
  },
  {
    name: `${role}, accepted links`,
    unit: 'messages/s',
    read: sample => rate(sample, sample.roles[role].messages),
  },
  {
    name: `${role}, accepted links`,
    unit: 'KB/s',
    read: sample => rate(sample, sample.roles[role].bytes / bytesPerKb),
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
  /** The one driver to measure; all when unset. */
  readonly only: string | undefined;
  /** JSON lines of earlier runs, to fit again instead of measuring. */
  readonly from: string | undefined;
}

/** Measures or reads the samples of each driver and prints fits, residuals and spread. */
export async function measureSlopes(command: SlopesCommand): Promise<void> {
  const {only, from} = command;
  const known = from === undefined ? undefined : readSamples(from);
  for (const driver of drivers) {
    if (only !== undefined && driver.name !== only) continue;
    const samples = known ?? (await sampleDriver(driver, command));
    const own = samples.filter(sample => sample.driver === driver.name);
    if (own.length > 0) printDriver(driver, own);
  }
}

/** Reads the lines that `sampleDriver` writes. */
function readSamples(path: string): readonly Sample[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines
    .filter(line => line.startsWith('{'))
    .map(line => JSON.parse(line) as Sample);
}

async function sampleDriver(
  driver: Driver,
  {seed, repeats}: SlopesCommand,
): Promise<readonly Sample[]> {
  const samples: Sample[] = [];
  for (let i = 0; i < repeats; i++) {
    for (const x of driver.points) {
      const sample = await trySample(driver, x, seed + i);
      if (sample !== undefined) samples.push(sample);
    }
  }
  return samples;
}

/** Writes the sample as a line; undefined when the site did not serve, which is said instead. */
async function trySample(
  driver: Driver,
  x: number,
  seed: number,
): Promise<Sample | undefined> {
  try {
    const sample = await takeSample(driver, x, seed);
    console.error(JSON.stringify(sample));
    return sample;
  } catch (error) {
    console.error(`no sample of ${driver.name} at ${x}: ${error}`);
    return undefined;
  }
}

function printDriver({name, unit}: Driver, samples: readonly Sample[]): void {
  const loads = samples.map(({loadAverage}) => loadAverage);
  const [least, most] = [Math.min(...loads), Math.max(...loads)];
  console.log(
    `\nDriver: ${name} (${unit}); load average ${least.toFixed(1)} to ${most.toFixed(1)}`,
  );
  const listed = costs.filter(({read}) => samples.some(one => read(one) > 0));
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
      ...listed.map(cost => describeCost(cost, samples)),
    ]),
  );
}

function describeCost(
  {name, unit, read}: Cost,
  samples: readonly Sample[],
): readonly string[] {
  const toPoints = (some: readonly Sample[]): readonly Point[] =>
    some.map(sample => ({x: sample.x, y: read(sample)}));
  const seeds = [...new Set(samples.map(({seed}) => seed))];
  const each = seeds.map(seed =>
    computeLine(toPoints(samples.filter(sample => sample.seed === seed))),
  );
  const points = toPoints(samples);
  const all = computeLine(points);
  return [
    name,
    unit,
    all.slope.toPrecision(3),
    all.intercept.toPrecision(3),
    all.residual.toPrecision(2),
    each.map(({slope}) => slope.toPrecision(3)).join(' '),
    points.map(({x, y}) => `${x.toFixed(1)}:${y.toFixed(1)}`).join(' '),
  ];
}
