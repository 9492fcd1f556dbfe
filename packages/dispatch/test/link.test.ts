import test from 'ava';
import {monotonicClock, type RunEnd} from '#model';
import {
  type Handlers,
  type Peer,
  PeerListener,
  type RunBatch,
  type WithdrawRunsParams,
} from '#protocol';
import {openLog} from '#telemetry';
import {RunnerLink} from '../src/link.js';
import {buildTarget} from './harness.js';

const load = {
  open: true,
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  slowness: 1,
  failing: 0,
};

const demand = {cpuMillis: 1000, memoryMb: 1, accelerators: 0};

/** Builds a run of a job with one task, and the batch that places it. */
function buildRun() {
  const run = {
    ticket: 1,
    ref: {job: 'job', step: 0, index: 0, run: 1},
    demand,
    placedAt: monotonicClock.now(),
    slownessAtPlacement: 1,
    remoteFactor: 1,
    isMoving: false,
  };
  const batch: RunBatch = {
    job: 'job',
    payload: '',
    step: 0,
    demand,
    estimateMs: 100,
    rankMs: 0,
    runs: [[1, 0, 1]],
  };
  return {batch, runs: new Map([[1, run]])};
}

function openLink(address: string, ends: RunEnd[] = []): RunnerLink {
  return new RunnerLink(buildTarget('target', address), {
    clock: monotonicClock,
    log: openLog('silent', 'entry', 'e'),
    dispatcher: 'd',
    life: 1,
    failureDomain: 'f',
    onEnd: (_target, _run, end) => void ends.push(end),
    onLoad: () => {},
  });
}

async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 2));
}

const welcome = {
  target: 'target',
  incarnation: 1,
  service: 'tally',
  ended: [],
  load,
};

test('runs lost while a connection is being attached get no permission on it', async t => {
  const ends: RunEnd[] = [];
  const attached: Peer[] = [];
  const permitted: Peer[] = [];
  const ask = (peer: Peer) =>
    peer.notify('dispatcher.report', {ends: [], load, question: 1});
  // Delays each attach after the first until the runs are lost, as a paused runner would.
  const handlers: Handlers = {
    'runner.attach': async (_, peer) => {
      attached.push(peer);
      await waitUntil(() => attached.length === 1 || ends.length > 0);
      return welcome;
    },
    'runner.place': () => {},
    'runner.permit': (_, peer) => void permitted.push(peer),
  };
  await using listener = (
    await PeerListener.listen('127.0.0.1:0', handlers)
  ).unsafeCoerce();
  await using link = openLink(listener.address, ends);
  await waitUntil(() => link.isOpen);
  ask(attached[0]!);
  await waitUntil(() => permitted.length === 1);
  const {batch, runs} = buildRun();
  link.place(batch, runs);
  attached[0]!.close('test');
  await waitUntil(() => ends.length > 0);
  t.deepEqual(ends, ['lapsed']);
  for (const peer of attached.slice(1)) ask(peer);
  await new Promise(resolve => setTimeout(resolve, 300));
  t.deepEqual(permitted, [attached[0]]);
});

test('a withdrawal made while a connection is attaching is sent once it is attached', async t => {
  const {withdrawn} = await withdrawWhileAttaching(link => link.withdraw([1]));
  t.deepEqual(withdrawn, [{tickets: [1], waitingOnly: false}]);
});

test('a run that is to end in any case still is after a later withdrawal of waiting runs', async t => {
  const {withdrawn} = await withdrawWhileAttaching(link => {
    link.withdraw([1]);
    link.withdraw([1], true);
  });
  t.deepEqual(withdrawn, [{tickets: [1], waitingOnly: false}]);
});

/** Withdraws while a lost connection is attached again; returns what the runner then receives. */
async function withdrawWhileAttaching(withdraw: (link: RunnerLink) => void) {
  const attached: Peer[] = [];
  const known = new Set<Peer>();
  const withdrawn: WithdrawRunsParams[] = [];
  let isWithdrawn = false;
  // Accepts withdrawals on a connection only once it is attached, as the runner does.
  const handlers: Handlers = {
    'runner.attach': async (_, peer) => {
      attached.push(peer);
      await waitUntil(() => attached.length === 1 || isWithdrawn);
      known.add(peer);
      return welcome;
    },
    'runner.place': () => {},
    'runner.withdraw': (params, peer) => {
      if (known.has(peer)) withdrawn.push(params);
    },
  };
  await using listener = (
    await PeerListener.listen('127.0.0.1:0', handlers)
  ).unsafeCoerce();
  await using link = openLink(listener.address);
  await waitUntil(() => link.isOpen);
  const {batch, runs} = buildRun();
  link.place(batch, runs);
  attached[0]!.close('test');
  await waitUntil(() => attached.length === 2);
  withdraw(link);
  await new Promise(resolve => setTimeout(resolve, 20));
  isWithdrawn = true;
  await waitUntil(() => link.isOpen);
  await new Promise(resolve => setTimeout(resolve, 50));
  return {withdrawn};
}

test('a target is described as its runner describes it, not as an older view does', async t => {
  const capacity = {
    kind: 'room' as const,
    cpuMillis: 2000,
    memoryMb: 1024,
    accelerators: 0,
    labels: ['b'],
  };
  const attached: Peer[] = [];
  await using listener = (
    await PeerListener.listen('127.0.0.1:0', {
      'runner.attach': (_, peer) => {
        attached.push(peer);
        return {...welcome, service: 'tally', capacity};
      },
    })
  ).unsafeCoerce();
  await using link = openLink(listener.address);
  await waitUntil(() => link.isOpen);
  t.deepEqual(link.describe()!.capacity, capacity);
  const executor = {service: 'renewal', capacity: {...capacity, labels: []}};
  attached[0]!.notify('dispatcher.report', {ends: [], load, executor});
  await waitUntil(() => link.service === 'renewal');
  link.update(buildTarget('target', listener.address));
  t.is(link.service, 'renewal');
  t.deepEqual(link.describe()!.capacity.labels, []);
});

// Guards against placement by a description that the runner has replaced: a report right after the answer is handled before it.
test('a description in a report that follows the attach answer at once stands', async t => {
  const capacity = {
    kind: 'room' as const,
    cpuMillis: 2000,
    memoryMb: 1024,
    accelerators: 0,
    labels: ['b'],
  };
  const executor = {service: 'renewal', capacity: {...capacity, labels: []}};
  await using listener = (
    await PeerListener.listen('127.0.0.1:0', {
      'runner.attach': (_, peer) => {
        process.nextTick(() =>
          peer.notify('dispatcher.report', {
            ends: [],
            load: {...load, slowness: 2},
            executor,
          }),
        );
        return {...welcome, service: 'tally', capacity};
      },
    })
  ).unsafeCoerce();
  await using link = openLink(listener.address);
  await waitUntil(() => link.isOpen);
  await waitUntil(() => link.slowness === 2);
  t.is(link.service, 'renewal');
  t.deepEqual(link.describe()!.capacity.labels, []);
});
