import test from 'ava';
import {monotonicClock} from '#model';
import type {DomainStatus} from '#protocol';
import {Group} from './group.js';
import {
  createDeadline,
  describeFailure,
  openTestControl,
  type TestClient,
} from './test-control.js';

const evacuate = {domain: 'gilgit-hunza', evacuated: true};
const restore = {domain: 'gilgit-hunza', evacuated: false};
const topics = ['all', 'configuration', 'targets'] as const;
const youngestSettledMs = 30_000;

async function listEvacuated(client: TestClient): Promise<readonly string[]> {
  const {domains} = await client.request('control.readEvacuations', {});
  return domains
    .filter(({evacuated}: DomainStatus) => evacuated)
    .map(({domain}) => domain);
}

test('every watcher learns of an evacuation and of its end, whatever it follows and whenever it starts', async t => {
  await using control = await openTestControl();
  const operator = control.connect();
  const early = topics.map(topic => {
    const client = control.connect();
    client.follow(topic);
    return client;
  });
  for (const client of early) await client.awaitView(view => view.revision > 0);
  t.deepEqual(await operator.request('control.setEvacuation', evacuate), {
    kind: 'done',
  });
  const late = topics.map(topic => {
    const client = control.connect();
    client.follow(topic);
    return client;
  });
  const all = [...early, ...late];
  for (const client of all) {
    await client.awaitView(view => view.evacuated.has('gilgit-hunza'));
  }
  await operator.request('control.setEvacuation', restore);
  for (const client of all) {
    await client.awaitView(
      view => view.revision > 0 && view.evacuated.size === 0,
    );
  }
});

test('a configuration watcher that missed an evacuation gets it although the configuration is the same', async t => {
  await using control = await openTestControl();
  const client = control.connect();
  client.follow('configuration');
  const {revision, configuration} = await client.awaitView(
    view => view.revision > 0,
  );
  await client.request('control.setEvacuation', evacuate);
  const update = await control.watchSince(revision, 'configuration');
  const found =
    update.kind === 'full'
      ? update.view.evacuated
      : update.changes.map(change =>
          change.kind === 'domain-evacuated' ? change.domain : change.kind,
        );
  t.deepEqual(found, ['gilgit-hunza']);
  t.is(client.client.view.configuration.version, configuration.version);
});

test('an order is acknowledged again when it is repeated, and after the opposite one', async t => {
  await using control = await openTestControl();
  const client = control.connect();
  for (const order of [evacuate, evacuate, restore, restore, evacuate]) {
    t.deepEqual(await client.request('control.setEvacuation', order), {
      kind: 'done',
    });
  }
  t.deepEqual(await listEvacuated(client), ['gilgit-hunza']);
  const {version} = await client.request('control.readEvacuations', {});
  t.is(version, 3);
});

test('a domain that no process was ever in is unknown once the group is settled, and an evacuated one is known', async t => {
  await using control = await openTestControl({logTimeMs: youngestSettledMs});
  const client = control.connect();
  t.deepEqual(await client.request('control.setEvacuation', evacuate), {
    kind: 'unknown-domain',
  });
  await client.open('gilgit-1');
  t.deepEqual(
    await client.request('control.setEvacuation', {
      domain: 'a',
      evacuated: true,
    }),
    {kind: 'done'},
  );
  t.deepEqual(await listEvacuated(client), ['a']);
});

test('a malformed name is refused', async t => {
  await using control = await openTestControl();
  const reply = await control
    .connect()
    .client.request(
      'control.setEvacuation',
      {domain: '', evacuated: true},
      createDeadline(),
    );
  t.regex(describeFailure(reply), /name of a failure domain/);
});

test('an order in flight while the leader stops is acknowledged by the next leader, once', async t => {
  await using group = await Group.start();
  const client = group.connect();
  await client.awaitVersion(1);
  const answer = client.request('control.setEvacuation', {
    ...evacuate,
    changeId: 'c1',
  });
  await group.stop(await group.awaitLeader());
  t.deepEqual(await answer, {kind: 'done'});
  t.deepEqual(await client.request('control.setEvacuation', evacuate), {
    kind: 'done',
  });
  const {version} = await client.request('control.readEvacuations', {});
  t.is(version, 1);
});

test('an order at a leader that is cut off is not acknowledged, and does not come into force after a later one', async t => {
  await using group = await Group.start();
  const client = group.connect();
  await client.awaitVersion(1);
  await client.request('control.setEvacuation', evacuate);
  const old = await group.awaitLeader();
  group.isolated.add(old);
  const lost = await group
    .connect(old)
    .client.request(
      'control.setEvacuation',
      {...evacuate, domain: 'gilgit-nagar'},
      monotonicClock.now() + 500,
    );
  t.true(lost.isLeft());
  const next = await group.awaitLeader();
  await group.connect(next).request('control.setEvacuation', restore);
  group.isolated.clear();
  await group.awaitStatus(
    (id, {role, evacuated}) =>
      id === old && role === 'follower' && evacuated?.length === 0,
  );
  t.deepEqual(await listEvacuated(group.connect()), []);
});

test('after a restart of all replicas each one shows what was acknowledged in its first view', async t => {
  await using group = await Group.start();
  const first = group.connect();
  await first.awaitVersion(1);
  for (const domain of ['a', 'b']) {
    await first.request('control.setEvacuation', {domain, evacuated: true});
  }
  await first.request('control.setEvacuation', {
    domain: 'a',
    evacuated: false,
  });
  for (const id of [...group.running.keys()]) await group.stop(id);
  const ids = ['c1', 'c2', 'c3'];
  for (const id of ids) await group.start(id);
  for (const id of ids) {
    const client = group.connect(id);
    const seen: string[] = [];
    client.client.watch('targets', ({evacuated}) =>
      seen.push([...evacuated].join()),
    );
    while (seen.length === 0) await new Promise(setImmediate);
    t.is(seen[0], 'b');
  }
  t.deepEqual(await listEvacuated(group.connect()), ['b']);
});
