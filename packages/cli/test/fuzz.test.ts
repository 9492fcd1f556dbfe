import test from 'ava';
import fc from 'fast-check';
import {exitCode} from '#telemetry';
import {runCommand} from './command-runner.js';

const argument = fc.oneof(
  fc.constantFrom(
    ...['settings', 'config', 'job', 'status', 'drain', 'members', 'entry'],
    ...['check', 'show', 'apply', 'submit', 'promote', 'keys', 'diff'],
    ...['--settings', '--base', '--overlay', '--json', '--role', '--expect'],
    ...['--payload', '--tasks', '--team', '--key', '--service', '--agent'],
    ...['examples/base.toml', 'a=examples/gilgit/overlay.toml', '{}', '-1'],
  ),
  fc.string({unit: 'binary', maxLength: 8}),
);

test('any command line exits with a documented code', async t => {
  const known: readonly number[] = Object.values(exitCode);
  await fc.assert(
    fc.asyncProperty(fc.array(argument, {maxLength: 8}), async line => {
      const {code} = await runCommand(line);
      return known.includes(code) && code !== exitCode.brokenInvariant;
    }),
    {seed: 20261204, numRuns: 1000},
  );
  t.pass();
});
