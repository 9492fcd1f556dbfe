import test from 'ava';
import {
  answer,
  closeHarness,
  FakeControl,
  FakeEntry,
  makeSettings,
  openHarness,
  startAgent,
  waitUntil,
} from './harness.js';

test('an agent that control no longer knows announces itself again with the same incarnation', async t => {
  const harness = await openHarness();
  harness.control.ended = true;
  await waitUntil(() => harness.control.announced.length === 2);
  const {address} = harness.control.listener;
  await harness.control[Symbol.asyncDispose]();
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 4);
  entry.start();
  t.deepEqual(await entry.awaitFate('a.0'), {kind: 'succeeded', result: 'p'});
  const control = await FakeControl.open(address);
  await waitUntil(() => control.announced.length === 1);
  t.is(control.announced[0]!.target.incarnation, 7);
  await closeHarness({...harness, control});
});

test('an agent follows the leader and applies only newer configurations', async t => {
  const harness = await openHarness();
  harness.control.push(5);
  await waitUntil(() => harness.agent.getStatus().configVersion === 5);
  const leader = await FakeControl.open();
  leader.version = 3;
  harness.control.leader = leader.listener.address;
  await waitUntil(() => leader.renewals > 0);
  t.is(leader.announced[0]!.configVersion, 5);
  t.is(harness.agent.getStatus().configVersion, 5);
  leader.push(6);
  await waitUntil(() => harness.agent.getStatus().configVersion === 6);
  await leader[Symbol.asyncDispose]();
  await closeHarness(harness);
});

test('a configuration that changes the number of slots makes entries open new sessions', async t => {
  const harness = await openHarness({
    capacity: {kind: 'worker', cores: 8, memoryMb: 4096, accelerators: 0},
    chooseCores: version => version,
  });
  const first = await FakeEntry.connect(harness, 1, 1);
  await waitUntil(() => first.free === 8);
  harness.control.push(4);
  await first.peer.closed;
  const second = await FakeEntry.connect(harness, 1, 2);
  await waitUntil(() => second.free === 2);
  t.is(harness.agent.getStatus().slots, 2);
  await closeHarness(harness);
});

test('no task starts before the configuration committed at the announcement is in force', async t => {
  const harness = await openHarness();
  const control = await FakeControl.open();
  control.version = 9;
  control.committed = 10;
  const settings = makeSettings(control.listener.address, harness.target.url, {
    kind: 'executor',
    slots: 1,
    maxConnections: 1,
  });
  const agent = await startAgent(settings, harness.target.url);
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
  await closeHarness(harness);
});

test('an agent of an evacuated failure domain starts no task until it is taken back, while running ones go on', async t => {
  const releases: (() => void)[] = [];
  const harness = await openHarness({
    serve: (body, response) => void releases.push(() => answer(body, response)),
  });
  const {agent, control} = harness;
  const entry = await FakeEntry.connect(harness, 1);
  await waitUntil(() => entry.free === 4);
  entry.start();
  await waitUntil(() => agent.getStatus().running === 1);
  control.evacuated = ['other', 'd'];
  control.push(2);
  await waitUntil(() => entry.free === 0);
  entry.start({job: 'b', granted: false});
  t.like(await entry.awaitFate('b.0'), {kind: 'not-run'});
  t.is(agent.getStatus().running, 1);
  releases[0]!();
  t.like(await entry.awaitFate('a.0'), {kind: 'succeeded'});
  for (const peer of control.listener.peers) {
    peer.notify('watcher.update', {
      kind: 'delta',
      from: 2,
      revision: 3,
      changes: [{kind: 'domain-restored', domain: 'd'}],
    });
  }
  await waitUntil(() => entry.free === 4);
  t.is(releases.length, 1);
  await closeHarness(harness);
});
