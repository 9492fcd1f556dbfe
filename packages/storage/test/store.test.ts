import test from 'ava';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createMembers, type LogEntry, type Snapshot} from '#consensus';
import {describeStoreError, Store, type StoreError} from '#storage';
import {encodeFrame} from '../src/frame.js';
import {encodeEntry} from '../src/record.js';
import {SimulatedDisk} from './simulated-disk.js';

const folder = '/data';
const segment = (number: number) =>
  `/data/log-${String(number).padStart(16, '0')}`;
const members = createMembers([{id: 'a', address: '127.0.0.1:1'}]);

const openOn = (disk: SimulatedDisk) =>
  Store.open(folder, {id: 'a', disk, bootstrap: members});

const openOrThrow = async (disk: SimulatedDisk) =>
  (await openOn(disk)).unsafeCoerce();

const makeEntry = (index: number, term = 1, size = 20): LogEntry => ({
  kind: 'command',
  index,
  term,
  command: Buffer.alloc(size, 65 + (index % 26)),
});

const makeSnapshot = (index: number, term = 1): Snapshot => ({
  index,
  term,
  members,
  data: Buffer.from(`state ${index}`),
});

const listIndexes = (store: Store) =>
  store.recovered.entries.map(entry => entry.index);

async function openWith(disk: SimulatedDisk, ...entries: LogEntry[]) {
  const store = await openOrThrow(disk);
  for (const entry of entries) await store.append({entries: [entry]});
  return store;
}

test('a new folder holds the first members entry', async t => {
  const disk = new SimulatedDisk();
  await openOrThrow(disk);
  const {recovered} = await openOrThrow(disk);
  t.deepEqual(recovered.entries, [
    {kind: 'members', index: 1, term: 0, members},
  ]);
  t.deepEqual(recovered.hardState, {term: 0});
});

test('entries and the hard state are recovered; a later entry replaces those from its index on', async t => {
  const disk = new SimulatedDisk();
  const store = await openWith(disk, makeEntry(2), makeEntry(3), makeEntry(4));
  await store.append({
    hardState: {term: 2, vote: 'a'},
    entries: [makeEntry(3, 2)],
  });
  const {recovered} = await openOrThrow(disk);
  t.deepEqual(recovered.hardState, {term: 2, vote: 'a'});
  t.deepEqual(recovered.entries.slice(1), [makeEntry(2), makeEntry(3, 2)]);
});

test('concurrent appends share one sync', async t => {
  const disk = new SimulatedDisk();
  const store = await openOrThrow(disk);
  const before = (disk.operationsLeft = 1000);
  await Promise.all(
    Array.from({length: 50}, (_, i) =>
      store.append({entries: [makeEntry(2 + i)]}),
    ),
  );
  t.true(before - disk.operationsLeft <= 4);
  t.is((await openOrThrow(disk)).recovered.entries.length, 51);
});

test('a torn last frame is truncated and the log continues', async t => {
  for (const cut of [1, 5, 20, 40]) {
    const disk = new SimulatedDisk();
    await openWith(disk, makeEntry(2), makeEntry(3));
    disk.truncateEnd(segment(1), cut);
    const reopened = await openWith(disk, makeEntry(3, 2));
    t.deepEqual(listIndexes(reopened), [1, 2]);
    t.deepEqual(listIndexes(await openOrThrow(disk)), [1, 2, 3]);
  }
});

test('corruption of any byte is refused with file, offset and the expected content', async t => {
  const disk = new SimulatedDisk();
  await openWith(disk, makeEntry(2), makeEntry(3));
  const size = disk.measure(segment(1));
  for (let offset = 0; offset < size; offset++) {
    disk.toggleByte(segment(1), offset);
    const error = (await openOn(disk)).swap().unsafeCoerce() as Extract<
      StoreError,
      {kind: 'corrupt'}
    >;
    t.is(error.kind, 'corrupt');
    t.is(error.file, segment(1));
    t.true(error.offset <= offset && error.expected.length > 0);
    disk.toggleByte(segment(1), offset);
  }
  t.deepEqual(listIndexes(await openOrThrow(disk)), [1, 2, 3]);
});

test('a record that leaves a gap in the log is refused with the byte at which it starts', async t => {
  const disk = new SimulatedDisk();
  await openWith(disk, makeEntry(2), makeEntry(3));
  const offset = disk.measure(segment(1));
  disk.append(segment(1), encodeFrame({entries: [encodeEntry(makeEntry(9))]}));
  const error = (await openOn(disk)).swap().unsafeCoerce();
  t.like(error, {kind: 'corrupt', file: segment(1), offset});
  t.regex(describeStoreError(error), /after entry 3, found entry 9/);
});

test('a folder of another replica is refused', async t => {
  const disk = new SimulatedDisk();
  await openOrThrow(disk);
  const error = (await Store.open(folder, {id: 'b', disk})).extract();
  t.like(error, {kind: 'wrong-identity', expected: 'b', found: 'a'});
});

test('a snapshot replaces the entries up to its index, and older snapshot files', async t => {
  const disk = new SimulatedDisk();
  const store = await openWith(disk, makeEntry(2), makeEntry(3), makeEntry(4));
  await store.saveSnapshot(makeSnapshot(2), 'continue');
  await store.saveSnapshot(makeSnapshot(3), 'continue');
  await store.append({entries: [makeEntry(5)]});
  const {recovered} = await openOrThrow(disk);
  t.is(recovered.snapshot?.index, 3);
  t.deepEqual(recovered.entries, [makeEntry(4), makeEntry(5)]);
  t.false((await disk.list(folder)).includes('snapshot-0000000000000002'));
});

test('a received snapshot replaces a log that conflicts with it', async t => {
  const disk = new SimulatedDisk();
  const store = await openWith(disk, makeEntry(2), makeEntry(3), makeEntry(4));
  await store.saveSnapshot(makeSnapshot(3, 2), 'replace');
  await store.append({entries: [makeEntry(4, 2)]});
  const {recovered} = await openOrThrow(disk);
  t.is(recovered.snapshot?.term, 2);
  t.deepEqual(recovered.entries, [makeEntry(4, 2)]);
});

test('a store rejects all writes after a failed sync', async t => {
  const disk = new SimulatedDisk();
  const store = await openOrThrow(disk);
  disk.operationsLeft = 2;
  t.like((await store.append({entries: [makeEntry(2)]})).extract(), {
    kind: 'failed',
  });
  disk.operationsLeft = Infinity;
  t.like((await store.append({entries: [makeEntry(2)]})).extract(), {
    kind: 'failed',
  });
});

/** Writes entries and snapshots, own and received, until the simulated power loss. */
async function runUntilCrash(disk: SimulatedDisk, seed: number, step: number) {
  const random = xoroshiro128plus(seed * 1000 + step);
  const opened = await openOn(disk);
  if (opened.isLeft()) return {error: opened.extract()};
  const store = opened.unsafeCoerce();
  const {snapshot, entries} = store.recovered;
  const last = entries.at(-1) ?? snapshot!;
  let saved = snapshot?.index ?? 0;
  let acknowledged = last.index;
  let {term} = last;
  disk.operationsLeft = uniformInt(random, 1, 40);
  for (let index = last.index + 1; ; index++) {
    const entry = makeEntry(index, term, uniformInt(random, 1, 1500));
    if ((await store.append({entries: [entry]})).isLeft()) break;
    acknowledged = index;
    // 0: an own snapshot follows; 1: one received from a leader of a later term and ahead of this log.
    const kind = uniformInt(random, 0, 5);
    if (kind > 1) continue;
    if (kind === 1) index += 3;
    if (kind === 1) term++;
    const log = kind === 1 ? 'replace' : 'continue';
    const outcome = await store.saveSnapshot(makeSnapshot(index, term), log);
    if (outcome.isLeft()) break;
    saved = index;
    acknowledged = index;
  }
  disk.simulatePowerLoss(random);
  return {acknowledged, saved};
}

test('acknowledged writes survive a power loss at any operation', async t => {
  for (let seed = 1; seed <= 100; seed++) {
    const disk = new SimulatedDisk();
    await openOrThrow(disk);
    for (let step = 0; step < 6; step++) {
      const {error, acknowledged, saved} = await runUntilCrash(
        disk,
        seed,
        step,
      );
      t.is(error, undefined, `seed ${seed}, step ${step}`);
      const {recovered} = await openOrThrow(disk);
      const start = recovered.snapshot?.index ?? 0;
      const indexes = recovered.entries.map(entry => entry.index);
      t.true(start >= saved!, `seed ${seed}, step ${step}`);
      t.true(
        start + indexes.length >= acknowledged!,
        `seed ${seed}, step ${step}`,
      );
      t.deepEqual(
        indexes,
        indexes.map((_, i) => start + 1 + i),
      );
      if (start > 0) t.is(String(recovered.snapshot!.data), `state ${start}`);
    }
  }
});

for (const log of ['continue', 'replace'] as const) {
  test(`a power loss at any operation of a snapshot leaves the state before or after it, log: ${log}`, async t => {
    const index = log === 'continue' ? 3 : 9;
    for (let operations = 1; operations <= 16; operations++) {
      for (let seed = 1; seed <= 60; seed++) {
        const disk = new SimulatedDisk();
        const store = await openWith(disk, makeEntry(2), makeEntry(3));
        disk.operationsLeft = operations;
        const saved = await store.saveSnapshot(makeSnapshot(index), log);
        disk.simulatePowerLoss(xoroshiro128plus(seed * 77_777));
        const {recovered} = await openOrThrow(disk);
        const label = `operation ${operations}, seed ${seed}`;
        if (saved.isRight()) t.is(recovered.snapshot?.index, index, label);
        if (!recovered.snapshot) t.is(recovered.entries.length, 3, label);
        else t.deepEqual(recovered.entries, [], label);
      }
    }
  });
}

test('a store that found no room at any operation says so and opens again with all that it acknowledged', async t => {
  for (let operations = 1; operations <= 60; operations++) {
    const disk = new SimulatedDisk();
    disk.errorCode = 'ENOSPC';
    const store = await openWith(disk, makeEntry(2));
    disk.operationsLeft = operations;
    let acknowledged = 2;
    let term = 0;
    let error: unknown;
    for (let index = 3; error === undefined; index++) {
      const hardState = {term: index, vote: 'a'};
      const voted = await store.append({hardState, entries: []});
      if (voted.isRight()) term = index;
      const written = voted.isRight()
        ? await store.append({entries: [makeEntry(index)]})
        : voted;
      if (written.isRight()) acknowledged = index;
      const saved =
        written.isRight() && index % 4 === 0
          ? await store.saveSnapshot(makeSnapshot(index), 'continue')
          : written;
      error = saved.isLeft() ? saved.extract() : undefined;
    }
    t.like(error, {kind: 'full'});
    await store[Symbol.asyncDispose]();
    t.like((await openOn(disk)).extract(), {kind: 'full'});
    disk.operationsLeft = Infinity;
    const {recovered} = await openOrThrow(disk);
    const last = recovered.entries.at(-1)?.index ?? recovered.snapshot!.index;
    t.true(last >= acknowledged, `operation ${operations}`);
    t.true(recovered.hardState.term >= term, `operation ${operations}`);
  }
});

// A killed process leaves records that it wrote but did not sync; the next process continues from them.
test('unsynced records of a killed process survive a power loss once the next process has continued from them', async t => {
  for (let seed = 0; seed < 40; seed++) {
    const disk = new SimulatedDisk();
    const store = await openWith(disk, makeEntry(2));
    disk.operationsLeft = 2;
    const killed = await store.append({entries: [makeEntry(3, 1, 3000)]});
    t.true(killed.isLeft());
    disk.operationsLeft = Infinity;
    const next = await openOrThrow(disk);
    t.deepEqual(listIndexes(next), [1, 2, 3]);
    const acknowledged = await next.append({entries: [makeEntry(4)]});
    t.true(acknowledged.isRight());
    disk.simulatePowerLoss(xoroshiro128plus(seed));
    const reopened = await openOn(disk);
    t.true(reopened.isRight(), `seed ${seed}: ${reopened.swap().extract()}`);
    t.deepEqual(listIndexes(reopened.unsafeCoerce()), [1, 2, 3, 4]);
  }
});
