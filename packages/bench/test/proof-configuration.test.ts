import {readdirSync} from 'node:fs';
import test from 'ava';
import {join} from 'node:path';
import {applyChanges, fillLog} from '../src/configuration-changes.js';
import {raceChanges, runCommand} from '../src/operator.js';
import {VersionMonitor} from '../src/version-monitor.js';
import {planJobs} from './jobs.js';
import {Harness} from './harness.js';

const changeCount = 300;
/** Enough log entries that a replica that missed them is sent a snapshot. */
const entriesForSnapshot = 11_000;

interface ConfigStatus {
  readonly processes: readonly {readonly version?: number}[];
}

interface Outcome {
  readonly kind: string;
  readonly version: number;
  readonly winner?: string;
  readonly winnerChangeId?: string;
}

async function runConfig(
  {site}: Harness,
  args: readonly string[],
): Promise<{readonly code: number; readonly json: unknown}> {
  const controls = site.controls.flatMap(address => ['--control', address]);
  const result = await runCommand(site, [
    'config',
    ...args,
    '--json',
    ...controls,
  ]);
  return {code: result.code, json: JSON.parse(result.out)};
}

/** Resubmits a change under the same id, from the file that raceChanges wrote. */
async function applyAgain(
  harness: Harness,
  changeId: string,
  expectedVersion: number,
): Promise<Outcome> {
  const base = join(harness.site.options.data, `${changeId}.toml`);
  const {json} = await runConfig(harness, [
    'apply',
    '--base',
    base,
    '--expect',
    String(expectedVersion),
    '--change-id',
    changeId,
    '--author',
    changeId,
  ]);
  return json as Outcome;
}

function hasSnapshot({site}: Harness, control: string): boolean {
  const files = readdirSync(join(site.options.data, control));
  return files.some(file => file.startsWith('snapshot'));
}

function waitUntilInForce(harness: Harness, version: number): Promise<void> {
  const {members} = harness.site;
  return harness.waitUntil(
    `version ${version} is in force at every process`,
    async () => {
      const {json} = await runConfig(harness, ['status']);
      const {processes} = json as ConfigStatus;
      return (
        processes.length === members.length &&
        processes.every(each => each.version === version)
      );
    },
  );
}

test.serial(
  'when operators apply changes to the same version, one wins, the others learn which one, and its change takes effect at every process',
  async t => {
    const harness = await Harness.open(t, {controls: 3});
    await using monitor = new VersionMonitor(harness.site);
    const race = (await raceChanges(harness.site, 3, 'race'))!;
    t.is(race.accepted.length, 1);
    t.is(race.conflicts, 2);
    const [{changeId, version}] = race.accepted as [(typeof race.accepted)[0]];
    const loserId = ['race-0', 'race-1'].find(id => id !== changeId)!;
    const loser = await applyAgain(harness, loserId, race.expectedVersion);
    t.like(loser, {
      kind: 'conflict',
      winner: changeId,
      winnerChangeId: changeId,
    });
    const resent = await applyAgain(harness, changeId, race.expectedVersion);
    t.like(resent, {kind: 'accepted', version});
    await waitUntilInForce(harness, version);
    t.deepEqual(monitor.regressions, []);
  },
);

test.serial(
  'processes that are stopped or paused during hundreds of changes return to the latest version and never report an older one',
  async t => {
    const harness = await Harness.open(t, {controls: 3});
    const {site} = harness;
    await using monitor = new VersionMonitor(site);
    await applyChanges(site, 'before', 3);
    await fillLog(site, entriesForSnapshot);
    await harness.waitUntil('control-2 has a snapshot of the old version', () =>
      hasSnapshot(harness, 'control-2'),
    );
    const stopped = ['control-2', 'entry-1', 'tally-1'];
    const paused = 'tally-0';
    await Promise.all(stopped.map(name => site.kill(name, 'SIGKILL')));
    await site.kill(paused, 'SIGSTOP');
    await harness.waitForLeader();
    const version = await applyChanges(site, 'change', changeCount);
    await fillLog(site, entriesForSnapshot);
    monitor.expectAtLeast(version, stopped);
    await site.kill(paused, 'SIGCONT');
    await Promise.all(stopped.map(name => site.restart(name)));
    await waitUntilInForce(harness, version);
    t.true(hasSnapshot(harness, 'control-2'));
    t.deepEqual(monitor.regressions, []);
    t.is(monitor.highestSeen, version);
    const jobs = planJobs('after', {jobs: 8, tasks: 2, taskMs: 20});
    harness.assertAllComplete(await harness.submitAll(jobs, 1));
  },
);
