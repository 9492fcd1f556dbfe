import test from 'ava';
import {monotonicClock} from '#model';
import {Group} from './group.js';
import {
  createAdmission,
  createJobId,
  createDeadline,
  source,
} from './test-control.js';

const createChange = (changeId: string, expectedVersion: number) => ({
  changeId,
  expectedVersion,
  author: changeId,
  source,
});

test('admissions survive the loss of the leader, and the revision of a view never decreases', async t => {
  await using group = await Group.start();
  const client = group.connect();
  client.follow('all');
  const {epoch} = await client.open('gilgit-1');
  client.keepAlive('gilgit-1', epoch);
  const admitted = {admissions: [createAdmission('a', epoch)]};
  await client.request('control.admit', admitted);
  await group.stop(await group.awaitLeader());
  t.deepEqual(await client.request('control.admit', admitted), [
    {kind: 'admitted'},
  ]);
  const other = await client.open('gilgit-2');
  await client.awaitView(view => view.entries.has(other.epoch));
  t.true(client.client.view.entries.has(epoch));
  t.deepEqual(
    client.revisions,
    [...client.revisions].sort((a, b) => a - b),
  );
});

test('a draining leader has a successor before it stops, and no admission fails', async t => {
  await using group = await Group.start();
  const client = group.connect();
  const {epoch} = await client.open('gilgit-1');
  client.keepAlive('gilgit-1', epoch);
  const names = [...'0123456789abcdef'];
  const admitted = Promise.all(
    names.map(name =>
      client.request('control.admit', {
        admissions: [createAdmission(name, epoch)],
      }),
    ),
  );
  await group.drain(await group.awaitLeader());
  const roles = [...group.running.values()].map(
    control => control.describeStatus().role,
  );
  t.true(roles.includes('leader'), roles.join());
  t.deepEqual(
    (await admitted).flat(),
    names.map(() => ({kind: 'admitted'})),
  );
});

test('a leader drains even if no other voter answers', async t => {
  await using group = await Group.start();
  const leader = await group.awaitLeader();
  for (const id of [...group.running.keys()]) {
    if (id !== leader) await group.stop(id);
  }
  await group.drain(leader);
  t.is(group.running.size, 0);
});

test('an isolated leader renews no lease, and its successor does', async t => {
  await using group = await Group.start();
  const client = group.connect();
  const {epoch} = await client.open('gilgit-1');
  const old = await group.awaitLeader();
  group.isolated.add(old);
  const renewal = {entry: 'gilgit-1', epoch, configVersion: 1};
  const next = await group.awaitLeader();
  t.not(next, old);
  const stale = await group
    .connect(old)
    .client.request('control.renewEntry', renewal, monotonicClock.now() + 500);
  t.true(stale.isLeft());
  const reply = await group
    .connect(next)
    .request('control.renewEntry', renewal);
  t.is(reply.kind, 'renewed');
});

test('an isolated replica closes its watchers, which continue at another one', async t => {
  await using group = await Group.start();
  const client = group.connect();
  client.follow('all');
  const leader = await group.awaitLeader();
  group.isolated.add(leader);
  const {epoch} = await group.connect().open('gilgit-1');
  await client.awaitView(view => view.entries.has(epoch));
  t.pass();
});

test('a group keeps its state when all of its replicas restart', async t => {
  await using group = await Group.start();
  const first = group.connect();
  await first.awaitVersion(1);
  const {epoch} = await first.open('gilgit-1');
  await first.request('control.admit', {
    admissions: [createAdmission('a', epoch)],
  });
  const accepted = await first.request(
    'control.applyConfig',
    createChange('c', 1),
  );
  t.is(accepted.kind, 'accepted');
  for (const id of [...group.running.keys()]) await group.stop(id);
  for (const id of ['c1', 'c2', 'c3']) await group.start(id);
  const client = group.connect();
  const [found] = await client.request('control.lookup', {
    jobs: [createJobId('a')],
  });
  t.is(found.kind, 'exists');
  const {current, history} = await client.request('control.configStatus', {});
  t.is(current.version, 2);
  t.deepEqual(
    history.map(({changeId}) => changeId),
    ['bootstrap', 'c'],
  );
  t.deepEqual(
    await client.request('control.applyConfig', createChange('c', 1)),
    accepted,
  );
});

test('of concurrent changes at different replicas one is accepted, and the others are told which', async t => {
  await using group = await Group.start();
  await group.connect().awaitVersion(1);
  const answers = await Promise.all(
    ['c1', 'c2', 'c3', 'c1', 'c2'].map((id, i) =>
      group
        .connect(id)
        .request('control.applyConfig', createChange(`change ${i}`, 1)),
    ),
  );
  const accepted = answers.filter(({kind}) => kind === 'accepted');
  t.deepEqual(accepted, [{kind: 'accepted', version: 2}]);
  const winner = `change ${answers.indexOf(accepted[0])}`;
  for (const answer of answers) {
    if (answer.kind === 'accepted') continue;
    t.like(answer, {kind: 'conflict', winner, winnerChangeId: winner});
  }
});

test('a change in flight while the leader stops is answered by the next leader', async t => {
  await using group = await Group.start();
  const client = group.connect();
  await client.awaitVersion(1);
  const answer = client.request('control.applyConfig', createChange('c', 1));
  await group.stop(await group.awaitLeader());
  t.deepEqual(await answer, {kind: 'accepted', version: 2});
  const retried = await group
    .connect()
    .request('control.applyConfig', createChange('c', 1));
  t.deepEqual(retried, {kind: 'accepted', version: 2});
});

test('an invalid configuration is refused with all its errors', async t => {
  await using group = await Group.start();
  const answer = await group.connect().request('control.applyConfig', {
    ...createChange('c', 1),
    source: {base: '[limts]\nx = 1\n[other]\n', overlays: {}},
  });
  t.true(answer.kind === 'invalid' && answer.errors.length >= 2);
});

test('a replica on a new disk replaces one that was lost', async t => {
  await using group = await Group.start(['c4']);
  const client = group.connect();
  const {epoch} = await client.open('gilgit-1');
  await client.request('control.admit', {
    admissions: [createAdmission('a', epoch)],
  });
  const leader = await group.awaitLeader();
  const lost = ['c1', 'c2', 'c3'].find(id => id !== leader)!;
  await group.stop(lost);
  await group.start('c4');
  const address = group.getAddress('c4');
  const joining = {change: 'add-learner', member: 'c4', address} as const;
  await client.request('control.changeMembers', joining);
  await client.request('control.changeMembers', joining);
  await group.awaitStatus(
    (id, {members}) =>
      id === leader &&
      members.some(({member, matchIndex}) => member === 'c4' && matchIndex > 0),
  );
  await client.promote('c4');
  await client.request('control.changeMembers', {
    change: 'remove',
    member: lost,
  });
  // A retry of a change whose answer was lost gets the same answer as the first request.
  await client.request('control.changeMembers', {
    change: 'promote',
    member: 'c4',
  });
  await client.request('control.changeMembers', {
    change: 'remove',
    member: lost,
  });
  const never = {change: 'remove', member: 'c9'} as const;
  await t.throwsAsync(client.request('control.changeMembers', never), {
    message: /unknown-member/,
  });
  await group.stop(leader);
  const [found] = await group
    .connect('c4')
    .request('control.lookup', {jobs: [createJobId('a')]});
  t.is(found.kind, 'exists');
});

test('a lagging replica rejects a watcher that has seen a later revision', async t => {
  await using group = await Group.start();
  const client = group.connect();
  client.follow('all');
  const leader = await group.awaitLeader();
  const behind = ['c1', 'c2', 'c3'].find(id => id !== leader)!;
  await group.stop(behind);
  const {epoch} = await client.open('gilgit-1');
  await client.awaitView(view => view.entries.has(epoch));
  const since = client.client.view.revision;
  group.isolated.add(behind);
  await group.start(behind);
  const params = {since, topics: 'all'} as const;
  const refused = await group
    .connect(behind)
    .client.request('control.watch', params, createDeadline());
  t.true(refused.isLeft());
});

test('a replica whose disk was lost cannot start again under its id', async t => {
  await using group = await Group.start();
  await group.awaitStatus(
    (_, {acknowledged}) => new Set(acknowledged).size === 3,
  );
  await group.stop('c3');
  await group.deleteData('c3');
  const refused = await t.throwsAsync(group.start('c3'));
  t.regex(refused!.message, /join under a new id/);
});
