import test from 'ava';
import {join} from 'node:path';
import {raceChanges, runCommand} from '../src/operator.js';
import {VersionWatch} from '../src/version-watch.js';
import {Stand} from './stand.js';

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
    await using watch = new VersionWatch(stand.site);
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
  'a process that starts again after many changes never shows an older version',
  async t => {
    const stand = await Stand.open(t, {controls: 3});
    await using watch = new VersionWatch(stand.site);
    const away = ['control-2', 'entry-1', 'tally-1'];
    await Promise.all(away.map(name => stand.site.kill(name, 'SIGKILL')));
    await stand.awaitLeader();
    const changes = 12;
    let version = 0;
    for (let i = 0; i < changes; i++) {
      const race = (await raceChanges(stand.site, 1, `change-${i}`))!;
      version = race.accepted[0]!.version;
    }
    for (const name of away) await stand.site.restart(name);
    await waitUntilInForce(stand, version);
    t.deepEqual(watch.regressions, []);
    t.is(watch.highestSeen, version);
  },
);
