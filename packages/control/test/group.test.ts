import test from 'ava';
import {monotonicClock} from '#model';
import {Group} from './group.js';
import {createAdmission, job, soon, source} from './site.js';

const change = (changeId: string, expectedVersion: number) => ({
  changeId,
  expectedVersion,
  author: changeId,
  source,
});

test('what was admitted outlives the leader, and the view only goes on', async t => {
  await using group = await Group.start();
  const client = group.connect();
  client.follow('all');
  const {epoch} = await client.open('gilgit-1');
  client.keepAlive('gilgit-1', epoch);
  const admitted = {admissions: [createAdmission('a', epoch)]};
  await client.ask('control.admit', admitted);
  await group.stop(await group.awaitLeader());
  t.deepEqual(await client.ask('control.admit', admitted), [
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

test('a leader that drains has a successor before it ends, and no admission fails', async t => {
  await using group = await Group.start();
  const client = group.connect();
  const {epoch} = await client.open('gilgit-1');
  client.keepAlive('gilgit-1', epoch);
  const names = [...'0123456789abcdef'];
  const admitted = Promise.all(
    names.map(name =>
      client.ask('control.admit', {admissions: [createAdmission(name, epoch)]}),
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

test('a leader without a voter that answers drains all the same', async t => {
  await using group = await Group.start();
  const leader = await group.awaitLeader();
  for (const id of [...group.running.keys()]) {
    if (id !== leader) await group.stop(id);
  }
  await group.drain(leader);
  t.is(group.running.size, 0);
});

test('a cut-off leader grants no lease and its successor grants whole ones', async t => {
  await using group = await Group.start();
  const client = group.connect();
  const {epoch} = await client.open('gilgit-1');
  const old = await group.awaitLeader();
  group.cut.add(old);
  const renewal = {entry: 'gilgit-1', epoch, configVersion: 1};
  const next = await group.awaitLeader();
  t.not(next, old);
  const stale = await group
    .connect(old)
    .client.request('control.renewEntry', renewal, monotonicClock.now() + 500);
  t.true(stale.isLeft());
  const reply = await group.connect(next).ask('control.renewEntry', renewal);
  t.is(reply.kind, 'renewed');
});

test('a cut-off replica lets its watchers go', async t => {
  await using group = await Group.start();
  const client = group.connect();
  client.follow('all');
  const leader = await group.awaitLeader();
  group.cut.add(leader);
  const {epoch} = await group.connect().open('gilgit-1');
  await client.awaitView(view => view.entries.has(epoch));
  t.pass();
});

test('a group that restarts as a whole has what it had', async t => {
  await using group = await Group.start();
  const first = group.connect();
  const {epoch} = await first.open('gilgit-1');
  await first.ask('control.admit', {admissions: [createAdmission('a', epoch)]});
  const accepted = await first.ask('control.applyConfig', change('c', 1));
  for (const id of [...group.running.keys()]) await group.stop(id);
  for (const id of ['c1', 'c2', 'c3']) await group.start(id);
  const client = group.connect();
  const [found] = await client.ask('control.lookup', {jobs: [job('a')]});
  t.is(found.kind, 'exists');
  const {current, history} = await client.ask('control.configStatus', {});
  t.is(current.version, 2);
  t.deepEqual(
    history.map(({changeId}) => changeId),
    ['bootstrap', 'c'],
  );
  t.deepEqual(
    await client.ask('control.applyConfig', change('c', 1)),
    accepted,
  );
});

test('of operators who race at different replicas one wins and the others learn by whom', async t => {
  await using group = await Group.start();
  await group.connect().awaitVersion(1);
  const answers = await Promise.all(
    ['c1', 'c2', 'c3', 'c1', 'c2'].map((id, i) =>
      group.connect(id).ask('control.applyConfig', change(`change ${i}`, 1)),
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

test('a change whose answer was lost with the leader is answered by the next one', async t => {
  await using group = await Group.start();
  const client = group.connect();
  await client.awaitVersion(1);
  const answer = client.ask('control.applyConfig', change('c', 1));
  await group.stop(await group.awaitLeader());
  t.deepEqual(await answer, {kind: 'accepted', version: 2});
  const resent = await group
    .connect()
    .ask('control.applyConfig', change('c', 1));
  t.deepEqual(resent, {kind: 'accepted', version: 2});
});

test('an invalid configuration is refused with all its errors', async t => {
  await using group = await Group.start();
  const answer = await group.connect().ask('control.applyConfig', {
    ...change('c', 1),
    source: {base: '[limts]\nx = 1\n[other]\n', overlays: {}},
  });
  t.true(answer.kind === 'invalid' && answer.errors.length >= 2);
});

test('a replica on a new disk replaces one that was lost', async t => {
  await using group = await Group.start(['c4']);
  const client = group.connect();
  const {epoch} = await client.open('gilgit-1');
  await client.ask('control.admit', {
    admissions: [createAdmission('a', epoch)],
  });
  const leader = await group.awaitLeader();
  const lost = ['c1', 'c2', 'c3'].find(id => id !== leader)!;
  await group.stop(lost);
  await group.start('c4');
  const address = group.getAddress('c4');
  const joining = {change: 'add-learner', member: 'c4', address} as const;
  await client.ask('control.changeMembers', joining);
  await client.ask('control.changeMembers', joining);
  await group.awaitStatus(
    (id, {members}) =>
      id === leader &&
      members.some(({member, matchIndex}) => member === 'c4' && matchIndex > 0),
  );
  await client.promote('c4');
  await client.ask('control.changeMembers', {change: 'remove', member: lost});
  // A resend of a change whose answer was lost is answered as the first one was.
  await client.ask('control.changeMembers', {change: 'promote', member: 'c4'});
  await client.ask('control.changeMembers', {change: 'remove', member: lost});
  const never = {change: 'remove', member: 'c9'} as const;
  await t.throwsAsync(client.ask('control.changeMembers', never), {
    message: /unknown-member/,
  });
  await group.stop(leader);
  const [found] = await group
    .connect('c4')
    .ask('control.lookup', {jobs: [job('a')]});
  t.is(found.kind, 'exists');
});

test('a replica that missed changes serves no watcher that saw more', async t => {
  await using group = await Group.start();
  const client = group.connect();
  client.follow('all');
  const leader = await group.awaitLeader();
  const behind = ['c1', 'c2', 'c3'].find(id => id !== leader)!;
  await group.stop(behind);
  const {epoch} = await client.open('gilgit-1');
  await client.awaitView(view => view.entries.has(epoch));
  const since = client.client.view.revision;
  group.cut.add(behind);
  await group.start(behind);
  const params = {since, topics: 'all'} as const;
  const refused = await group
    .connect(behind)
    .client.request('control.watch', params, soon());
  t.true(refused.isLeft());
});

test('a replica whose disk was lost does not start again under its id', async t => {
  await using group = await Group.start();
  await group.awaitStatus(
    (_, {acknowledged}) => new Set(acknowledged).size === 3,
  );
  await group.stop('c3');
  await group.loseDisk('c3');
  const refused = await t.throwsAsync(group.start('c3'));
  t.regex(refused!.message, /join under a new id/);
});
