import test from 'ava';
import type {TargetInfo} from '#model';
import {
  createAdmission,
  describeFailure,
  createJobId,
  openTestControl,
  place,
  createDeadline,
  source,
} from './test-control.js';

const target: TargetInfo = {
  target: 'pen-1',
  incarnation: 1,
  service: 'tally',
  address: '127.0.0.1:9',
  place,
  capacity: {kind: 'executor', slots: 8, maxConnections: 60},
  leaving: false,
};

test('an entry opens an epoch, admits jobs and looks them up', async t => {
  await using control = await openTestControl();
  const client = control.connect();
  const {epoch} = await client.open('gilgit-1');
  const admitted = await client.request('control.admit', {
    admissions: [createAdmission('a', epoch), createAdmission('a', epoch, 'e')],
  });
  t.deepEqual(
    admitted.map(({kind}) => kind),
    ['admitted', 'exists'],
  );
  const [found, absent] = await client.request('control.lookup', {
    jobs: [createJobId('a'), createJobId('b')],
  });
  t.is(absent.kind, 'absent');
  t.true(found.kind === 'exists' && found.standing.owner === epoch);
});

test('an entry that retries its opening keeps its epoch', async t => {
  await using control = await openTestControl();
  const client = control.connect();
  const first = await client.open('gilgit-1');
  t.is((await client.open('gilgit-1')).epoch, first.epoch);
  t.true((await control.connect().open('gilgit-1')).epoch > first.epoch);
});

test('a malformed admission is rejected with an error that names the job', async t => {
  await using control = await openTestControl();
  const reply = await control
    .connect()
    .client.request(
      'control.admit',
      {admissions: [{...createAdmission('a', 1), job: 'tally'}]},
      createDeadline(),
    );
  t.regex(describeFailure(reply), /job "tally"/);
});

test('a watcher is sent the targets that join and leave', async t => {
  await using control = await openTestControl();
  const client = control.connect();
  client.follow('all');
  const announced = {target, configVersion: 1};
  await client.request('control.announce', announced);
  const joined = await client.awaitView(view => view.targets.has('pen-1'));
  t.is(joined.services.get('tally')?.size, 1);
  await client.request('control.withdraw', {target: 'pen-1', incarnation: 1});
  const gone = await client.awaitView(view => !view.targets.has('pen-1'));
  t.true(gone.revision > joined.revision);
  t.is(gone.gone[0].target, 'pen-1');
});

test('a replica that has not caught up with a leader since its start serves no watcher its old view', async t => {
  let isCurrent = true;
  await using control = await openTestControl({
    adjustStatus: status => ({...status, isCurrent}),
  });
  const client = control.connect();
  await client.request('control.announce', {target, configVersion: 1});
  await client.awaitVersion(1);
  isCurrent = false;
  t.true((await control.watchFromStart()).isLeft());
  isCurrent = true;
  t.true((await control.watchFromStart()).isRight());
});

test('an entry that stops renewing its lease is ended, and another one inherits its jobs', async t => {
  await using control = await openTestControl();
  const expiring = await control.connect().open('gilgit-1');
  const admitted = {admissions: [createAdmission('a', expiring.epoch)]};
  const client = control.connect();
  await client.request('control.admit', admitted);
  client.follow('all');
  const heir = await client.open('gilgit-2');
  client.keepAlive('gilgit-2', heir.epoch);
  await client.awaitView(
    view => view.ended.get(expiring.epoch)?.heir === heir.epoch,
  );
  const renewal = await client.request('control.renewEntry', {
    entry: 'gilgit-1',
    epoch: expiring.epoch,
    configVersion: 1,
  });
  t.is(renewal.kind, 'ended');
  t.deepEqual(await client.request('control.admit', admitted), [
    {kind: 'ended'},
  ]);
  const jobs = await client.request('control.epochJobs', {
    epochs: [expiring.epoch],
  });
  t.deepEqual(
    jobs.map(one => one.job),
    [createJobId('a')],
  );
});

test('a target that stops renewing its lease is removed', async t => {
  await using control = await openTestControl();
  const client = control.connect();
  client.follow('all');
  await client.request('control.announce', {target, configVersion: 1});
  await client.awaitView(view => view.targets.has('pen-1'));
  const {gone} = await client.awaitView(view => !view.targets.has('pen-1'));
  t.is(gone.length, 1);
});

test('a configuration watcher gets every version and no other update', async t => {
  await using control = await openTestControl();
  const client = control.connect();
  client.follow('configuration');
  await client.awaitView(view => view.configuration.version === 1);
  const other = control.connect();
  other.follow('all');
  for (const name of ['pen-1', 'pen-2']) {
    const announced = {...target, target: name};
    await other.request('control.announce', {
      target: announced,
      configVersion: 1,
    });
    await other.awaitView(view => view.targets.has(name));
  }
  const changed = {changeId: 'c', expectedVersion: 1, author: 'a', source};
  await other.request('control.applyConfig', changed);
  const view = await client.awaitView(
    ({configuration}) => configuration.version === 2,
  );
  t.is(view.targets.size, 0);
  t.is(client.revisions.length, 2);
});
