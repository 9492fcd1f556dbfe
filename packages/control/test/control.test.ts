import test from 'ava';
import type {TargetInfo} from '#model';
import {
  createAdmission,
  describeFailure,
  job,
  openSite,
  place,
  soon,
  source,
} from './site.js';

const target: TargetInfo = {
  target: 'pen-1',
  incarnation: 1,
  service: 'tally',
  address: '127.0.0.1:9',
  place,
  capacity: {kind: 'executor', slots: 8, maxConnections: 60},
  leaving: false,
};

test('an entry opens, admits and looks up', async t => {
  await using site = await openSite();
  const client = site.connect();
  const {epoch} = await client.open('gilgit-1');
  const admitted = await client.ask('control.admit', {
    admissions: [createAdmission('a', epoch), createAdmission('a', epoch, 'e')],
  });
  t.deepEqual(
    admitted.map(({kind}) => kind),
    ['admitted', 'exists'],
  );
  const [found, absent] = await client.ask('control.lookup', {
    jobs: [job('a'), job('b')],
  });
  t.is(absent.kind, 'absent');
  t.true(found.kind === 'exists' && found.standing.owner === epoch);
});

test('an entry that resends its opening keeps its epoch', async t => {
  await using site = await openSite();
  const client = site.connect();
  const first = await client.open('gilgit-1');
  t.is((await client.open('gilgit-1')).epoch, first.epoch);
  t.true((await site.connect().open('gilgit-1')).epoch > first.epoch);
});

test('malformed admissions are rejected by name', async t => {
  await using site = await openSite();
  const reply = await site
    .connect()
    .client.request(
      'control.admit',
      {admissions: [{...createAdmission('a', 1), job: 'tally'}]},
      soon(),
    );
  t.regex(describeFailure(reply), /job "tally"/);
});

test('a watcher follows targets that join and go', async t => {
  await using site = await openSite();
  const client = site.connect();
  client.follow('all');
  const announced = {target, configVersion: 1};
  await client.ask('control.announce', announced);
  const joined = await client.awaitView(view => view.targets.has('pen-1'));
  t.is(joined.services.get('tally')?.size, 1);
  await client.ask('control.withdraw', {target: 'pen-1', incarnation: 1});
  const gone = await client.awaitView(view => !view.targets.has('pen-1'));
  t.true(gone.revision > joined.revision);
  t.is(gone.gone[0].target, 'pen-1');
});

test('an entry that stops renewing is ended and another inherits its jobs', async t => {
  await using site = await openSite();
  const dying = await site.connect().open('gilgit-1');
  const admitted = {admissions: [createAdmission('a', dying.epoch)]};
  const client = site.connect();
  await client.ask('control.admit', admitted);
  client.follow('all');
  const heir = await client.open('gilgit-2');
  client.keepAlive('gilgit-2', heir.epoch);
  await client.awaitView(
    view => view.ended.get(dying.epoch)?.heir === heir.epoch,
  );
  const renewal = await client.ask('control.renewEntry', {
    entry: 'gilgit-1',
    epoch: dying.epoch,
    configVersion: 1,
  });
  t.is(renewal.kind, 'ended');
  t.deepEqual(await client.ask('control.admit', admitted), [{kind: 'ended'}]);
  const jobs = await client.ask('control.epochJobs', {epochs: [dying.epoch]});
  t.deepEqual(
    jobs.map(one => one.job),
    [job('a')],
  );
});

test('a target that stops renewing is removed', async t => {
  await using site = await openSite();
  const client = site.connect();
  client.follow('all');
  await client.ask('control.announce', {target, configVersion: 1});
  await client.awaitView(view => view.targets.has('pen-1'));
  const {gone} = await client.awaitView(view => !view.targets.has('pen-1'));
  t.is(gone.length, 1);
});

test('a watcher of the configuration is woken by nothing else and misses no version', async t => {
  await using site = await openSite();
  const client = site.connect();
  client.follow('configuration');
  await client.awaitView(view => view.configuration.version === 1);
  const other = site.connect();
  other.follow('all');
  for (const name of ['pen-1', 'pen-2']) {
    const announced = {...target, target: name};
    await other.ask('control.announce', {target: announced, configVersion: 1});
    await other.awaitView(view => view.targets.has(name));
  }
  const changed = {changeId: 'c', expectedVersion: 1, author: 'a', source};
  await other.ask('control.applyConfig', changed);
  const view = await client.awaitView(
    ({configuration}) => configuration.version === 2,
  );
  t.is(view.targets.size, 0);
  t.is(client.revisions.length, 2);
});
