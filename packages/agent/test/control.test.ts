import test from 'ava';
import {
  closeStand,
  FakeControl,
  FakeEntry,
  makeSettings,
  openStand,
  startAgent,
  waitUntil,
} from './stand.js';

test('an agent that control lost announces itself again as the same life', async t => {
  const stand = await openStand();
  stand.control.ended = true;
  await waitUntil(() => stand.control.announced.length === 2);
  const {address} = stand.control.listener;
  await stand.control[Symbol.asyncDispose]();
  const entry = await FakeEntry.connect(stand, 1);
  await waitUntil(() => entry.free === 4);
  entry.start();
  t.deepEqual(await entry.awaitFate('a.0'), {kind: 'succeeded', result: 'p'});
  const control = await FakeControl.open(address);
  await waitUntil(() => control.announced.length === 1);
  t.is(control.announced[0]!.target.incarnation, 7);
  await closeStand({...stand, control});
});

test('an agent follows the leader and takes over only newer configurations', async t => {
  const stand = await openStand();
  stand.control.push(5);
  await waitUntil(() => stand.agent.getStatus().configVersion === 5);
  const leader = await FakeControl.open();
  leader.version = 3;
  stand.control.leader = leader.listener.address;
  await waitUntil(() => leader.renewals > 0);
  t.is(leader.announced[0]!.configVersion, 5);
  t.is(stand.agent.getStatus().configVersion, 5);
  leader.push(6);
  await waitUntil(() => stand.agent.getStatus().configVersion === 6);
  await leader[Symbol.asyncDispose]();
  await closeStand(stand);
});

test('a configuration that changes the number of slots opens sessions anew', async t => {
  const stand = await openStand({
    capacity: {kind: 'worker', cores: 8, memoryMb: 4096, accelerators: 0},
    chooseCores: version => version,
  });
  const first = await FakeEntry.connect(stand, 1, 1);
  await waitUntil(() => first.free === 8);
  stand.control.push(4);
  await first.peer.closed;
  const second = await FakeEntry.connect(stand, 1, 2);
  await waitUntil(() => second.free === 2);
  t.is(stand.agent.getStatus().slots, 2);
  await closeStand(stand);
});

test('nothing starts before the configuration that was committed at the announcement', async t => {
  const stand = await openStand();
  const control = await FakeControl.open();
  control.version = 9;
  control.committed = 10;
  const settings = makeSettings(control.listener.address, stand.target.url, {
    kind: 'executor',
    slots: 1,
    maxConnections: 1,
  });
  const agent = await startAgent(settings, stand.target.url);
  await waitUntil(() => control.renewals > 1);
  const entry = await FakeEntry.connect({agent}, 1);
  entry.start({granted: false});
  t.deepEqual(await entry.awaitFate('a.0'), {
    kind: 'not-run',
    reason: 'no-slot',
  });
  control.push(10);
  await waitUntil(() => entry.free > 0);
  await agent[Symbol.asyncDispose]();
  await control[Symbol.asyncDispose]();
  await closeStand(stand);
});
