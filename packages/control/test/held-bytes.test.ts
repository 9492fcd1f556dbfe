import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import test from 'ava';
import {monotonicClock} from '#model';
import {createMembers} from '#consensus';
import type {Command, CommandResult} from '#membership';
import type {Peer, ViewUpdate} from '#protocol';
import {type Disk, ReplicaHost} from '#storage';
import {Right} from 'purify-ts';
import {ChangeBuffer} from '../src/change-buffer.js';
import {ControlMachine} from '../src/state-machine.js';
import {Watchers} from '../src/watchers.js';

const mebibyte = 1024 * 1024;
const changeCount = 300;
const routeCount = 1000;
/** Of a host of 346 MB, with room for the programs and the requests at work. */
const maxHeldBytes = 96 * mebibyte;
/** Of a disk of 128 MB. */
const maxDiskBytes = 96 * mebibyte;

/** A document of 1,000 routes, and the base text derived from it. */
const createTexts = (version: number) => {
  const routes = Array.from({length: routeCount}, (_, i) => ({
    name: `r-${i}`,
    host: 'h.example',
    path: `/p${i}/`,
    type: 'non_idempotent',
    timeout_ms: 1500,
    completion_target_ms: 60,
    priority: 0,
    backend: 'svc-a',
    attempts: 3,
    stretch: 1.6,
  }));
  const document = JSON.stringify({version, routes});
  return {base: document, overlays: {}, origin: {version, document}};
};

const createChange = (version: number): Command => ({
  kind: 'configure',
  time: version,
  change: {
    changeId: `change-${version}`,
    expectedVersion: 0,
    author: 'operator',
    source: createTexts(version),
  },
});

/** Counts the bytes of its files and holds none of them: each is as long as what was written to it. */
class CountingDisk implements Disk {
  private readonly sizes = new Map<string, number>();
  largestBytes = 0;

  readonly lock = async () => Right({[Symbol.asyncDispose]: async () => {}});
  readonly createFolder = async () => {};
  readonly syncFolder = async () => {};
  readonly read = async () => Buffer.alloc(0);
  readonly list = async () =>
    [...this.sizes.keys()].map(file => file.slice(file.lastIndexOf('/') + 1));

  async open(file: string) {
    this.sizes.set(file, this.sizes.get(file) ?? 0);
    return {
      write: async (data: Uint8Array, position: number) => {
        this.sizes.set(file, position + data.byteLength);
        this.noteSize();
      },
      truncate: async (length: number) => void this.sizes.set(file, length),
      sync: async () => {},
      [Symbol.asyncDispose]: async () => {},
    };
  }

  async move(from: string, to: string): Promise<void> {
    this.sizes.set(to, this.sizes.get(from)!);
    this.sizes.delete(from);
  }

  async remove(file: string): Promise<void> {
    this.sizes.delete(file);
  }

  private noteSize(): void {
    const bytes = [...this.sizes.values()].reduce((sum, size) => sum + size, 0);
    this.largestBytes = Math.max(this.largestBytes, bytes);
  }
}

/** Measures what is reachable, after a collection. */
function measureHeldBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

test('hundreds of changes of 1,000 routes keep what a control replica holds, in memory and on its disk, under a bound', async t => {
  const machine = new ControlMachine(() => {});
  const disk = new CountingDisk();
  const started = await ReplicaHost.start<Command, CommandResult>({
    folder: '/data',
    id: 'c1',
    bootstrap: createMembers([{id: 'c1', address: 'at c1'}]),
    machine,
    disk,
    clock: monotonicClock,
    seed: 1,
    send: () => {},
  });
  await using host = started.unsafeCoerce();
  while (host.describeStatus().role !== 'leader') {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const before = measureHeldBytes();
  for (let version = 1; version <= changeCount; version++) {
    const outcome = await host.propose(createChange(version));
    t.like(outcome, {kind: 'committed'});
  }
  const held = measureHeldBytes() - before;
  t.is(machine.state.configuration.current.version, changeCount);
  t.true(held < maxHeldBytes, `${held} bytes are held`);
  t.true(
    disk.largestBytes < maxDiskBytes,
    `${disk.largestBytes} bytes on disk`,
  );
});

const configured = (version: number) =>
  ({
    kind: 'configured',
    configuration: {
      version,
      changeId: '',
      author: '',
      source: {base: '', overlays: {}},
    },
  }) as const;

test('the changes that are kept for watchers contain one configuration, the latest', t => {
  const buffer = new ChangeBuffer();
  buffer.add(1, [configured(1)]);
  buffer.add(2, [{kind: 'epoch-forgotten', epoch: 4}]);
  buffer.add(3, [configured(2)]);
  buffer.add(4, [configured(3)]);
  t.deepEqual(buffer.collectSince(0, 'all'), [
    {kind: 'epoch-forgotten', epoch: 4},
    configured(3),
  ]);
  t.deepEqual(buffer.collectSince(2, 'configuration'), [configured(3)]);
  t.deepEqual(buffer.collectSince(4, 'all'), []);
});

test('a watcher that does not read gets all changes in one update once it reads again', async t => {
  const sent: ViewUpdate[] = [];
  let unsentBytes = 0;
  const peer = {
    closed: new Promise(() => {}),
    get unsentBytes() {
      return unsentBytes;
    },
    notify: (name: string, update: ViewUpdate) => {
      if (name === 'watcher.update') sent.push(update);
    },
  } as unknown as Peer;
  const machine = new ControlMachine(() => watchers.schedule());
  using watchers = new Watchers(() => machine);
  const apply = (version: number) =>
    machine.apply([{index: version, term: 1, command: createChange(version)}]);
  apply(1);
  watchers.add(peer, {since: 0, topics: 'all'});
  unsentBytes = mebibyte;
  for (let version = 2; version <= 20; version++) apply(version);
  await new Promise(resolve => setTimeout(resolve, 50));
  t.deepEqual(sent, []);
  unsentBytes = 0;
  while (sent.length === 0) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  t.is(sent.length, 1);
  const [update] = sent;
  t.like(update, {kind: 'delta', from: 1, revision: 20});
  t.true(update?.kind === 'delta' && update.changes.length === 1);
});
