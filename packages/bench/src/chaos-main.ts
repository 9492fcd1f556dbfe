import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {endOnSignals} from './child.js';
import {type ChaosRun, runChaos} from './chaos.js';
import {describeDisruption} from './chaos-plan.js';
import type {OutcomeCounts} from './check.js';
import {formatTable} from './table.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    runs: {type: 'string', default: '20'},
    troubles: {type: 'string', default: '5'},
    verbose: {type: 'boolean', default: false},
  },
});
const firstSeed = Number(values.seed);
const count = Number(values.runs);
const disruptions = Number(values.troubles);
if (![firstSeed, count, disruptions].every(Number.isInteger)) {
  console.error(
    'usage: npm run chaos -- [--seed N] [--runs N] [--troubles N] [--verbose]',
  );
  process.exit(2);
}

const columns: readonly (keyof OutcomeCounts)[] = [
  'jobs',
  'complete',
  'failed',
  'unknown',
  'refused',
  'unanswered',
  'doubled',
  'partial',
  'unstarted',
  'wronglyNotRun',
  'contradicted',
];

endOnSignals();
const runs: ChaosRun[] = [];
for (let i = 0; i < count; i++) {
  const seed = firstSeed + i;
  const data = mkdtempSync(join(tmpdir(), `wasabiring-chaos-${seed}-`));
  try {
    const run = await runChaos(data, seed, disruptions);
    runs.push(run);
    printRun(run, data);
    if (run.faults.length === 0 && !values.verbose)
      rmSync(data, {recursive: true});
  } catch (error) {
    console.log(`seed ${seed} did not run: ${String(error)}, see ${data}`);
  }
}

function printRun(run: ChaosRun, data: string): void {
  const numbers = columns.map(column => `${column} ${run.counts[column]}`);
  console.log(`seed ${run.seed}: ${numbers.join(', ')}`);
  if (run.faults.length === 0 && !values.verbose) return;
  for (const step of run.steps) console.log(`  ${describeDisruption(step)}`);
  for (const [reason, times] of run.reasons)
    console.log(`  ${times} × ${reason}`);
  for (const fault of run.faults) console.log(`  FAULT ${fault}`);
  console.log(`  logs, journal and settings are in ${data}`);
}

const rows = runs.map(run => [
  `seed ${run.seed}`,
  ...columns.map(column => run.counts[column] as number),
  run.accepted,
  run.faults.length,
]);
const sums = columns.map(column =>
  runs.reduce((sum, run) => sum + (run.counts[column] as number), 0),
);
const accepted = runs.reduce((sum, run) => sum + run.accepted, 0);
const faulty = runs.filter(run => run.faults.length > 0);
console.log(
  formatTable([
    ['run', ...columns, 'changes', 'faults'],
    ...rows,
    ['all', ...sums, accepted, faulty.length],
  ]),
);
console.log(
  `${runs.length} of ${count} runs finished, ${faulty.length} with faults${faulty.length > 0 ? `: seeds ${faulty.map(run => run.seed).join(', ')}` : ''}`,
);
process.exit(runs.length === count && faulty.length === 0 ? 0 : 1);
