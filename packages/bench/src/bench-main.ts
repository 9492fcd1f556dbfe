import {parseArgs} from 'node:util';
import {endOnSignals} from './child.js';
import {measureCommit} from './bench-commit.js';
import {measureDeployments} from './bench-deployments.js';
import {measureEntry} from './bench-entry.js';
import {measurePlacement} from './bench-placement.js';
import {measureRecovery} from './bench-recovery.js';
import {writeReport} from './bench-report.js';
import {measureScale} from './bench-scale.js';
import {measureSlopes} from './bench-slopes.js';

const {values, positionals} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    repeat: {type: 'string', default: '2'},
    driver: {type: 'string'},
    from: {type: 'string'},
    out: {type: 'string', default: 'report'},
  },
  allowPositionals: true,
});
const seed = Number(values.seed);
const repeats = Number(values.repeat);

const experiments: Readonly<Record<string, () => Promise<void>>> = {
  deployments: () => measureDeployments(seed),
  placement: () => measurePlacement(seed),
  slopes: () =>
    measureSlopes({
      seed,
      repeats,
      driverName: values.driver,
      from: values.from,
    }),
  scale: () => measureScale(seed),
  commit: () => measureCommit(),
  entry: () => measureEntry(seed),
  recovery: () => measureRecovery(),
  report: () =>
    writeReport({seed, repeats, folder: values.out, from: values.from}),
};

const run = experiments[positionals[0] ?? 'deployments'];
if (run === undefined || !Number.isInteger(seed) || !(repeats >= 1)) {
  console.error(
    `usage: npm run bench -- [${Object.keys(experiments).join('|')}] [--seed N] [--repeat N] [--driver NAME] [--out FOLDER] [--from FILE]`,
  );
  process.exit(2);
}
endOnSignals();
await run();
process.exit();
