import test from 'ava';
import {monotonicClock} from '#model';
import {Cluster} from './cluster.js';

const makeCommands = (count: number) =>
  Array.from({length: count}, (_, i) => `w${i}`);

test('a command is committed, applied everywhere and its result returned', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  t.is(await cluster.submit('x'), 1);
  t.is(await cluster.submit('y'), 2);
  for (const id of ['a', 'b', 'c']) {
    t.deepEqual(await cluster.awaitValues(id, 2), ['x', 'y']);
  }
});

test('a follower names the leader for writes and reads', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  const {id} = (await cluster.awaitLeader()).describeStatus();
  const follower = [...cluster.hosts.values()].find(
    host => host.describeStatus().id !== id,
  )!;
  await cluster.awaitValue(() => follower.describeStatus().leader);
  const expected = {kind: 'not-leader', leader: {id, address: `at ${id}`}};
  t.deepEqual(await follower.propose('x'), expected as never);
  t.deepEqual(await follower.confirmRead(), expected as never);
});

test('a confirmed read includes every acknowledged write', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  const leader = await cluster.awaitLeader();
  const writes = await Promise.all(
    makeCommands(100).map(command => leader.propose(command)),
  );
  const last = Math.max(
    ...writes.map(write => (write.kind === 'committed' ? write.index : 0)),
  );
  t.deepEqual(await leader.confirmRead(), {kind: 'confirmed', index: last});
});

test('an isolated leader answers unknown, then steps down', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  await cluster.submit('x');
  const old = await cluster.awaitLeader();
  const {id} = old.describeStatus();
  cluster.isolated.add(id);
  t.deepEqual(await old.propose('y'), {kind: 'unknown'});
  t.like(await old.confirmRead(), {kind: 'not-leader'});
  t.is(await cluster.submit('z'), 2);
  cluster.isolated.clear();
  t.deepEqual(await cluster.awaitValues(id, 2), ['x', 'z']);
});

test('a leader transfers leadership to another replica', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  await cluster.submit('x');
  const old = await cluster.awaitLeader();
  t.true(await old.transferLeadership(monotonicClock.now() + 60_000));
  const {role, leader} = old.describeStatus();
  t.not(role, 'leader');
  t.is(cluster.hosts.get(leader!)!.describeStatus().role, 'leader');
  t.is(await cluster.submit('y'), 2);
});

test('a leader without another voter reports at once that it cannot transfer leadership', async t => {
  await using cluster = await Cluster.start(['a']);
  const leader = await cluster.awaitLeader();
  t.false(await leader.transferLeadership(Infinity));
  t.is(leader.describeStatus().role, 'leader');
});

test('a restarted group has every acknowledged write', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  for (const command of makeCommands(50)) await cluster.submit(command);
  for (const id of ['a', 'b', 'c']) await cluster.stopHost(id);
  for (const id of ['a', 'b', 'c']) await cluster.startHost(id);
  for (const id of ['a', 'b', 'c']) {
    t.deepEqual(await cluster.awaitValues(id, 50), makeCommands(50));
  }
});

test('a replica that missed hundreds of entries catches up', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  await cluster.submit('w0');
  await cluster.stopHost('a');
  for (const command of makeCommands(300)) await cluster.submit(command);
  await cluster.startHost('a');
  t.deepEqual(await cluster.awaitValues('a', 300), makeCommands(300));
});

test('a replacement replica joins as a learner and is promoted once caught up', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  for (const command of makeCommands(100)) await cluster.submit(command);
  await cluster.stopHost('a');
  await cluster.change({kind: 'add-learner', member: 'd', address: 'at d'});
  const promote = {kind: 'promote', member: 'd'} as const;
  const leader = await cluster.awaitLeader();
  t.not((await leader.changeMembers(promote)).kind, 'committed');
  await cluster.startHost('d');
  t.deepEqual(await cluster.awaitValues('d', 100), makeCommands(100));
  t.is(cluster.hosts.get('d')!.describeStatus().role, 'learner');
  await cluster.change(promote);
  await cluster.change({kind: 'remove', member: 'a'});
  const {members} = (await cluster.awaitLeader()).describeStatus();
  const voters = members.filter(member => member.voter);
  t.deepEqual(
    voters.map(({id}) => id),
    ['b', 'c', 'd'],
  );
});

test('a replica whose store fails stops and refuses further proposals', async t => {
  await using cluster = await Cluster.start(['a']);
  const leader = await cluster.awaitLeader();
  await leader.propose('x');
  cluster.disks.get('a')!.operationsLeft = 1;
  t.deepEqual(await leader.propose('y'), {kind: 'unknown'});
  t.like(await leader.propose('z'), {kind: 'not-leader'});
});

test('a leader whose disk stands still hands over, and takes part again after', async t => {
  await using cluster = await Cluster.start(['a', 'b', 'c']);
  await cluster.submit('x');
  const old = await cluster.awaitLeader();
  const {id, term} = old.describeStatus();
  const disk = cluster.disks.get(id)!;
  let resume = () => {};
  disk.stall = new Promise(resolve => (resume = resolve));
  const stuck = old.propose('y');
  const next = await cluster.awaitValue(() =>
    [...cluster.hosts.values()].find(host => {
      const status = host.describeStatus();
      return status.role === 'leader' && status.term > term;
    }),
  );
  t.not(next.describeStatus().id, id);
  t.is((await next.propose('z')).kind, 'committed');
  disk.stall = undefined;
  resume();
  await stuck;
  await cluster.awaitValue(() =>
    cluster.machines.get(id)!.values.includes('z') ? true : undefined,
  );
});
