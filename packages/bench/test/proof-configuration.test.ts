import {readdirSync} from 'node:fs';
import test from 'ava';
import {join} from 'node:path';
import {applyChanges, fillLog} from '../src/configuration-changes.js';
import {raceChanges, runCommand} from '../src/operator.js';
import {VersionMonitor} from '../src/version-monitor.js';
import {planJobs} from './jobs.js';
import {Stand} from './stand.js';

const changes = 300;
/** So many entries that a replica that missed them is sent a snapshot. */
const entriesBeyondLog = 11_000;

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
  {site}: Stand,
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

/** Applies the change with this id again, from the file that the race left. */
async function applyAgain(
  stand: Stand,
  changeId: string,
  expectedVersion: number,
): Promise<Outcome> {
  const base = join(stand.site.options.data, `${changeId}.toml`);
  const {json} = await runConfig(stand, [
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

function hasSnapshot({site}: Stand, control: string): boolean {
  const files = readdirSync(join(site.options.data, control));
  return files.some(file => file.startsWith('snapshot'));
}

function waitUntilInForce(stand: Stand, version: number): Promise<void> {
  const {members} = stand.site;
  return stand.waitUntil(`version ${version} in force everywhere`, async () => {
    const {json} = await runConfig(stand, ['status']);
    const {processes} = json as ConfigStatus;
    return (
      processes.length === members.length &&
      processes.every(each => each.version === version)
    );
  });
}

test.serial(
  'of operators with one expected version one wins, the others learn who, and it is in force everywhere',
  async t => {
    const stand = await Stand.open(t, {controls: 3});
    await using watch = new VersionMonitor(stand.site);
    const race = (await raceChanges(stand.site, 3, 'race'))!;
    t.is(race.accepted.length, 1);
    t.is(race.conflicts, 2);
    const [{changeId, version}] = race.accepted as [(typeof race.accepted)[0]];
    const loserId = ['race-0', 'race-1'].find(id => id !== changeId)!;
    const loser = await applyAgain(stand, loserId, race.expectedVersion);
    t.like(loser, {
      kind: 'conflict',
      winner: changeId,
      winnerChangeId: changeId,
    });
    const resent = await applyAgain(stand, changeId, race.expectedVersion);
    t.like(resent, {kind: 'accepted', version});
    await waitUntilInForce(stand, version);
    t.deepEqual(watch.regressions, []);
  },
);

test.serial(
  'processes that are away during hundreds of changes come back to the last one and never show an older one',
  async t => {
    const stand = await Stand.open(t, {controls: 3});
    const {site} = stand;
    await using watch = new VersionMonitor(site);
    await applyChanges(site, 'before', 3);
    const away = ['control-2', 'entry-1', 'tally-1'];
    const halted = 'tally-0';
    await Promise.all(away.map(name => site.kill(name, 'SIGKILL')));
    await site.kill(halted, 'SIGSTOP');
    await stand.awaitLeader();
    const version = await applyChanges(site, 'change', changes);
    await fillLog(site, entriesBeyondLog);
    watch.expectAtLeast(version, away);
    await site.kill(halted, 'SIGCONT');
    await Promise.all(away.map(name => site.restart(name)));
    await waitUntilInForce(stand, version);
    t.true(hasSnapshot(stand, 'control-2'));
    t.deepEqual(watch.regressions, []);
    t.is(watch.highestSeen, version);
    const jobs = planJobs('after', {jobs: 8, tasks: 2, taskMs: 20});
    stand.assertAllComplete(await stand.submitAll(jobs, 1));
  },
);
