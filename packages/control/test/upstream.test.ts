import test from 'ava';
import type {ConfigurationSource} from '#model';
import {describeFailure, openSite, type Site, soon} from './site.js';

/** A configuration of these regions, told from others by its limit. */
function divide(
  regions: readonly string[],
  maxTasks = 170,
): ConfigurationSource {
  const tables = regions.map(
    name => `[regions.${name}]\nentries = ["127.0.0.1:9"]\n`,
  );
  const team = '[teams.herds]\nhome_region = "north"\ntasks_per_second = 1\n';
  const limits = `[limits]\nmax_tasks_per_job = ${maxTasks}\n`;
  return {base: [...tables, team, limits].join(''), overlays: {}};
}

const both = ['north', 'south'];
const change = (
  changeId: string,
  expectedVersion: number,
  source = divide(both, 171),
) => ({changeId, expectedVersion, author: changeId, source});

const openOrigin = (configuration = divide(both)) => openSite({configuration});

const openRegion = (origin: Site) =>
  openSite({
    region: 'south',
    upstream: [origin.control.address],
    configuration: divide(both, 1),
  });

test('a region takes its configuration from the origin, not from its files', async t => {
  await using origin = await openOrigin();
  await using region = await openRegion(origin);
  const client = region.connect();
  await client.awaitVersion(1);
  await origin.connect().ask('control.applyConfig', change('c', 1));
  await client.awaitVersion(2);
  const {current, history, homes, upstream} = await client.ask(
    'control.configStatus',
    {},
  );
  t.is(current.changeId, 'c');
  t.deepEqual(
    history.map(({version}) => version),
    [1, 2],
  );
  t.deepEqual(homes.teams, [{team: 'herds', region: 'north'}]);
  t.is(upstream?.version, 2);
});

test('a change at a region is made at the origin, once however often it is sent', async t => {
  await using origin = await openOrigin();
  await using region = await openRegion(origin);
  const client = region.connect();
  await client.awaitVersion(1);
  for (let i = 0; i < 2; i++) {
    t.like(await client.ask('control.applyConfig', change('c', 1)), {
      kind: 'accepted',
      version: 2,
    });
  }
  const lost = await client.ask('control.applyConfig', change('d', 1));
  t.like(lost, {kind: 'conflict', winnerChangeId: 'c'});
  const passed = {...change('e', 2), forwarded: true};
  const refused = await client.client.request(
    'control.applyConfig',
    passed,
    soon(),
  );
  t.regex(describeFailure(refused), /not the origin/);
});

test('a change whose origin cannot be asked is of unknown fate, and changes nothing here', async t => {
  const origin = await openOrigin();
  await using region = await openRegion(origin);
  const client = region.connect();
  await client.awaitVersion(1);
  await origin[Symbol.asyncDispose]();
  const result = await client.ask('control.applyConfig', change('c', 1));
  t.is(result.kind, 'unknown');
  const {current} = await client.ask('control.configStatus', {});
  t.is(current.version, 1);
});

test('the origin hears which versions a region has in force', async t => {
  await using origin = await openOrigin();
  await using region = await openRegion(origin);
  await region.connect().awaitVersion(1);
  const client = origin.connect();
  for (;;) {
    const {regions} = await client.ask('control.configStatus', {});
    if (regions.length === 0 || regions[0].version === 0) continue;
    t.like(regions[0], {region: 'south', version: 1, lowest: 1, lagging: []});
    return;
  }
});

test('a configuration that does not name its region is not adopted', async t => {
  await using origin = await openOrigin(divide(['north']));
  await using region = await openRegion(origin);
  const client = origin.connect();
  await client.awaitVersion(1);
  const named = change('c', 1, divide(both));
  await client.ask('control.applyConfig', named);
  await region.connect().awaitVersion(2);
  const unnamed = change('d', 2, divide(['north']));
  await client.ask('control.applyConfig', unnamed);
  await client.ask('control.applyConfig', change('e', 3));
  await region.connect().awaitVersion(4);
  const {history} = await region.connect().ask('control.configStatus', {});
  t.is(history.at(-1)?.changeId, 'e');
});

test('with regions a group opens no entry of another one', async t => {
  await using origin = await openOrigin();
  await using region = await openRegion(origin);
  const client = region.connect();
  await client.awaitVersion(1);
  const opened = await client.client.request(
    'control.openEntry',
    {
      entry: 'e',
      address: '127.0.0.1:9',
      place: {site: 's', region: 'north', failureDomain: 'a', rack: 'r'},
    },
    soon(),
  );
  t.regex(describeFailure(opened), /region "north", this group serves "south"/);
});
