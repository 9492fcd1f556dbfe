import test from 'ava';
import type {ConfigurationSource} from '#model';
import {
  describeFailure,
  openTestControl,
  type TestControl,
  createDeadline,
} from './test-control.js';

/** Creates a configuration with these regions; `maxTasks` makes it distinct from others. */
function createSource(
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

const bothRegions = ['north', 'south'];
const createChange = (
  changeId: string,
  expectedVersion: number,
  source = createSource(bothRegions, 171),
) => ({changeId, expectedVersion, author: changeId, source});

const openOrigin = (configuration = createSource(bothRegions)) =>
  openTestControl({configuration});

const openRegion = (origin: TestControl) =>
  openTestControl({
    region: 'south',
    upstream: [origin.control.address],
    configuration: createSource(bothRegions, 1),
  });

test('a region takes its configuration from the origin, not from its files', async t => {
  await using origin = await openOrigin();
  await using region = await openRegion(origin);
  const client = region.connect();
  await client.awaitVersion(1);
  await origin.connect().request('control.applyConfig', createChange('c', 1));
  await client.awaitVersion(2);
  const {current, history, homes, upstream} = await client.request(
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

test('a change sent to a region is made once at the origin, even if it is retried', async t => {
  await using origin = await openOrigin();
  await using region = await openRegion(origin);
  const client = region.connect();
  await client.awaitVersion(1);
  for (let i = 0; i < 2; i++) {
    t.like(await client.request('control.applyConfig', createChange('c', 1)), {
      kind: 'accepted',
      version: 2,
    });
  }
  const conflicting = await client.request(
    'control.applyConfig',
    createChange('d', 1),
  );
  t.like(conflicting, {kind: 'conflict', winnerChangeId: 'c'});
  const forwardedChange = {...createChange('e', 2), forwarded: true};
  const refused = await client.client.request(
    'control.applyConfig',
    forwardedChange,
    createDeadline(),
  );
  t.regex(describeFailure(refused), /not the origin/);
});

test('a change has an unknown outcome and no local effect while the origin is unreachable', async t => {
  const origin = await openOrigin();
  await using region = await openRegion(origin);
  const client = region.connect();
  await client.awaitVersion(1);
  await origin[Symbol.asyncDispose]();
  const result = await client.request(
    'control.applyConfig',
    createChange('c', 1),
  );
  t.is(result.kind, 'unknown');
  const {current} = await client.request('control.configStatus', {});
  t.is(current.version, 1);
});

test('the origin receives the versions in force in a region', async t => {
  await using origin = await openOrigin();
  await using region = await openRegion(origin);
  await region.connect().awaitVersion(1);
  const client = origin.connect();
  for (;;) {
    const {regions} = await client.request('control.configStatus', {});
    if (regions.length === 0 || regions[0].version === 0) continue;
    t.like(regions[0], {region: 'south', version: 1, lowest: 1, lagging: []});
    return;
  }
});

test('a region does not adopt a configuration that does not name it', async t => {
  await using origin = await openOrigin(createSource(['north']));
  await using region = await openRegion(origin);
  const client = origin.connect();
  await client.awaitVersion(1);
  const named = createChange('c', 1, createSource(bothRegions));
  await client.request('control.applyConfig', named);
  await region.connect().awaitVersion(2);
  const unnamed = createChange('d', 2, createSource(['north']));
  await client.request('control.applyConfig', unnamed);
  await client.request('control.applyConfig', createChange('e', 3));
  await region.connect().awaitVersion(4);
  const {history} = await region.connect().request('control.configStatus', {});
  t.is(history.at(-1)?.changeId, 'e');
});

test('a group rejects an entry of another region when there are regions', async t => {
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
    createDeadline(),
  );
  t.regex(describeFailure(opened), /region "north", this group serves "south"/);
});
