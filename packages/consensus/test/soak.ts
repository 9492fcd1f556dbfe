import {Command} from 'commander';
import {profiles, type ProfileName} from './profiles.js';
import {Simulation} from './simulation.js';

const program = new Command('soak')
  .description('Runs the random tests of the replicated log with many seeds')
  .option('--seeds <count>', 'number of seeds', Number, 10_000)
  .option('--from <seed>', 'the first seed', Number, 1)
  .option('--profile <name>', `one of ${Object.keys(profiles).join(', ')}`)
  .option(
    '--outcomes',
    'check only outcomes, not single commits, messages and promotions',
    false,
  )
  .parse();

const options = program.opts<{
  seeds: number;
  from: number;
  profile?: ProfileName;
  outcomes: boolean;
}>();
const names = options.profile
  ? [options.profile]
  : (Object.keys(profiles) as ProfileName[]);
let failures = 0;
for (let seed = options.from; seed < options.from + options.seeds; seed++) {
  for (const name of names) {
    try {
      const checkSteps = !options.outcomes;
      new Simulation(seed, {...profiles[name], checkSteps}).run();
    } catch (error) {
      failures++;
      console.log(`seed ${seed}, profile ${name}: ${String(error)}`);
    }
  }
}
console.log(
  `${options.seeds} seeds from ${options.from} in ${names.length} profiles, ${failures} failures`,
);
process.exitCode = failures > 0 ? 1 : 0;
