import {parseArgs} from 'node:util';
import {endOnSignals} from './child.js';
import {measureCommit} from './bench-commit.js';
import {measureDeployments} from './bench-deployments.js';
import {measureEntry} from './bench-entry.js';
import {measurePlacement} from './bench-placement.js';
import {measureScale} from './bench-scale.js';
import {measureSlopes} from './bench-slopes.js';

const experiments: Readonly<Record<string, (seed: number) => Promise<void>>> = {
  deployments: measureDeployments,
  placement: measurePlacement,
  slopes: measureSlopes,
  scale: measureScale,
  commit: measureCommit,
  entry: measureEntry,
};

const {values, positionals} = parseArgs({
  options: {seed: {type: 'string', default: '1'}},
  allowPositionals: true,
});
const run = experiments[positionals[0] ?? 'deployments'];
const seed = Number(values.seed);
if (run === undefined || !Number.isInteger(seed)) {
  console.error(
    'usage: npm run bench -- [deployments|placement|slopes|scale|commit|entry] [--seed N]',
  );
  process.exit(2);
}
endOnSignals();
await run(seed);
process.exit();
