import test from 'ava';
import {Group} from './group.js';
import {createAdmission} from './test-control.js';

test('a replica at a new address takes the place of a lost voter, which comes back as a learner', async t => {
  await using group = await Group.start(['c4'], true);
  await group.awaitLeader();
  await group.stop('c3');
  await group.start('c4');
  await group.awaitMembers(['c1', 'c2', 'c4']);
  await group.start('c3');
  await group.awaitMembers(['c1', 'c2', 'c4'], ['c3']);
  t.pass();
});

test('no voter is removed while nothing can take its place', async t => {
  await using group = await Group.start([], true);
  const leader = await group.awaitLeader();
  const lost = ['c1', 'c2', 'c3'].find(id => id !== leader)!;
  await group.stop(lost);
  await group.awaitStatus((_, {repair}) => /no learner/.test(repair ?? ''));
  await group.start(lost);
  await group.awaitStatus((_, {repair}) => /whole/.test(repair ?? ''));
  await group.awaitMembers(['c1', 'c2', 'c3']);
  t.pass();
});

test('every replica is replaced in turn, and a client that was told of the first ones only keeps its epoch', async t => {
  await using group = await Group.start(['c4', 'c5', 'c6'], true);
  const client = group.connect();
  client.follow('all');
  const {epoch} = await client.open('gilgit-1');
  client.keepAlive('gilgit-1', epoch);
  const admitted = {admissions: [createAdmission('a', epoch)]};
  await client.request('control.admit', admitted);
  const voters = ['c1', 'c2', 'c3'];
  for (const [old, next] of [
    ['c1', 'c4'],
    ['c2', 'c5'],
    ['c3', 'c6'],
  ] as const) {
    await group.start(next);
    await group.awaitMembers(voters, [next]);
    await group.stop(old);
    voters.shift();
    voters.push(next);
    await group.awaitMembers(voters);
  }
  const [again] = await client.request('control.admit', admitted);
  t.is(again?.kind, 'admitted');
  t.true(client.client.view.entries.has(epoch));
});
