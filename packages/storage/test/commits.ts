import {mkdtemp, rm} from 'node:fs/promises';
import {join} from 'node:path';
import {Command} from 'commander';
import {type CommitLoad, type CommitMode, measureCommits} from '#storage';

const program = new Command('commits')
  .description('Measures commits per second and their latency on a real disk')
  .requiredOption('--folder <folder>', 'where to make the data folders')
  .option('--replicas <count>', 'replicas of the group', Number, 3)
  .option('--bytes <count>', 'size of a command', Number, 200)
  .parse();
const options = program.opts<{
  folder: string;
  replicas: number;
  bytes: number;
}>();

const cases: readonly [CommitMode, CommitLoad, commands: number][] = [
  ['one-by-one', {kind: 'callers', callers: 1}, 300],
  ['one-by-one', {kind: 'callers', callers: 64}, 300],
  ['grouped', {kind: 'callers', callers: 64}, 10_000],
  ['grouped', {kind: 'callers', callers: 512}, 30_000],
  ['grouped', {kind: 'rate', perSecond: 3000}, 15_000],
];
for (const [mode, load, commands] of cases) {
  const folder = await mkdtemp(join(options.folder, 'commits-'));
  const {replicas, bytes: commandBytes} = options;
  const figures = await measureCommits({
    folder,
    replicas,
    mode,
    load,
    commands,
    commandBytes,
  });
  await rm(folder, {recursive: true});
  console.log(JSON.stringify({mode, load, ...figures}));
}
