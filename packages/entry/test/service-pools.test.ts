import test from 'ava';
import {type Epoch, monotonicClock, type TargetInfo} from '#model';
import {emptyView} from '#membership';
import {createRandom} from '#policy';
import {type Peer, PeerListener, type StartTask} from '#protocol';
import {openLog} from '#telemetry';
import {Execution} from '../src/execution.js';
import {ServicePools} from '../src/service-pools.js';
import {createJob} from '../src/job.js';
import {buildConfiguration, buildSubmission} from './builders.js';

const configuration = buildConfiguration([]);

/** An agent that grants two slots per session, completes every task at once and keeps older connections open. */
async function openAgent() {
  const identity = {incarnation: 1, service: 'tally'};
  const received: StartTask[] = [];
  const sessions: Peer[] = [];
  const listener = (
    await PeerListener.listen('127.0.0.1:0', {
      'agent.hello': (_hello, peer) => {
        sessions.push(peer);
        peer.notify('entry.grant', {slots: 2});
        return {kind: 'welcome', target: describe(), slots: 2};
      },
      'agent.start': ({tasks}, peer) => {
        received.push(...tasks);
        peer.notify('entry.report', {
          tasks: tasks.map(({job, task}) => ({
            job,
            task,
            fate: {kind: 'succeeded' as const, result: task},
            runMs: 1,
          })),
          slots: tasks.length,
        });
      },
      'agent.demand': () => {},
    })
  ).unsafeCoerce();
  const describe = (): TargetInfo => ({
    target: 't1',
    ...identity,
    address: listener.address,
    place: {site: 's', region: 'r', failureDomain: 'd', rack: 'k'},
    capacity: {kind: 'executor', slots: 2, maxConnections: 2},
    leaving: false,
  });
  return {listener, sessions, received, identity, describe};
}

function openPools(
  getStartingEpoch: () => Epoch | undefined,
  initialConfiguration = configuration,
): ServicePools {
  return new ServicePools(initialConfiguration, {
    entry: 'e1',
    clock: monotonicClock,
    log: openLog('silent', 'entry', 'e1'),
    random: createRandom(1),
    getEpoch: () => 1,
    getStartingEpoch,
    onTaskEnd: () => {},
  });
}

test('a target that left and rejoined keeps its slots when its old connection closes', async t => {
  const agent = await openAgent();
  const pools = openPools(() => 1);
  const waitForSessions = async (count: number) => {
    while (agent.sessions.length < count) await new Promise(setImmediate);
  };
  const target = agent.describe();
  pools.applyView(emptyView, [{kind: 'target-joined', target}]);
  await waitForSessions(1);
  const gone = {target: 't1', incarnation: 1, revision: 1};
  pools.applyView(emptyView, [
    {kind: 'target-gone', gone},
    {kind: 'target-joined', target},
  ]);
  await waitForSessions(2);
  const link = pools.listLinks()[0]!;
  while (!link.isReady) await new Promise(setImmediate);
  agent.sessions[0]!.close('an older connection');
  await new Promise(resolve => setTimeout(resolve, 20));
  const job = createJob(buildSubmission('k', 4), monotonicClock.now() + 5000);
  const execution = new Execution(job, 3);
  pools.start(execution);
  t.is((await execution.answered).kind, 'complete');
  await pools[Symbol.asyncDispose]();
  await agent.listener[Symbol.asyncDispose]();
});

test('tasks wait despite a free slot while the lease is expired, and start once it is renewed', async t => {
  const agent = await openAgent();
  let epoch: Epoch | undefined = undefined;
  let epochReads = 0;
  const pools = openPools(() => {
    epochReads++;
    return epoch;
  });
  pools.applyView(emptyView, [
    {kind: 'target-joined', target: agent.describe()},
  ]);
  const link = pools.listLinks()[0]!;
  while (!link.isReady) await new Promise(setImmediate);
  const job = createJob(buildSubmission('k', 2), monotonicClock.now() + 5000);
  const execution = new Execution(job, 3);
  pools.start(execution);
  while (epochReads < 5 && !execution.hasSent) await new Promise(setImmediate);
  t.false(execution.hasSent);
  epoch = 1;
  t.is((await execution.answered).kind, 'complete');
  await pools[Symbol.asyncDispose]();
  await agent.listener[Symbol.asyncDispose]();
});

test('targets that joined before their service was configured are used afterwards', async t => {
  const agent = await openAgent();
  const pools = openPools(() => 1, {...configuration, services: []});
  pools.applyView(emptyView, [
    {kind: 'target-joined', target: agent.describe()},
  ]);
  const link = pools.listLinks()[0]!;
  while (!link.isReady) await new Promise(setImmediate);
  t.is(pools.getPool('tally'), undefined);
  pools.configure(configuration);
  t.is(pools.getPool('tally')!.listCapacities().length, 1);
  const job = createJob(buildSubmission('k', 1), monotonicClock.now() + 5000);
  const execution = new Execution(job, 3);
  pools.start(execution);
  t.is((await execution.answered).kind, 'complete');
  await pools[Symbol.asyncDispose]();
  await agent.listener[Symbol.asyncDispose]();
});

test('tasks whose admission is under way count as waiting beyond the idle slots', async t => {
  const agent = await openAgent();
  const pools = openPools(() => 1);
  pools.applyView(emptyView, [
    {kind: 'target-joined', target: agent.describe()},
  ]);
  while (!pools.listLinks()[0]!.isReady) await new Promise(setImmediate);
  const read = (team: string) => {
    const load = pools.getPool('tally')!.describeLoad(team);
    return [load.waiting, load.teamWaiting, load.freeSlots];
  };
  const {freeSlots} = pools.getPool('tally')!.describeLoad('team');
  const pendingAdmission = pools.trackPendingAdmission(
    buildSubmission('k', freeSlots + 3),
  );
  t.deepEqual(read('team'), [3, 3, 0]);
  t.deepEqual(read('other'), [3, 0, 0]);
  pendingAdmission[Symbol.dispose]();
  t.deepEqual(read('team'), [0, 0, freeSlots]);
  await pools[Symbol.asyncDispose]();
  await agent.listener[Symbol.asyncDispose]();
});

test('no task is sent to a target of an evacuated failure domain until it is taken back', async t => {
  const agent = await openAgent();
  const pools = openPools(() => 1);
  const target = agent.describe();
  pools.applyView(emptyView, [{kind: 'target-joined', target}]);
  const link = pools.listLinks()[0]!;
  while (!link.isReady) await new Promise(setImmediate);
  pools.applyView({...emptyView, evacuated: new Set(['d'])}, []);
  const job = createJob(buildSubmission('k', 4), monotonicClock.now() + 60_000);
  const execution = new Execution(job, 3);
  pools.start(execution);
  await new Promise(resolve => setTimeout(resolve, 50));
  t.true(execution.job.tasks.every(({kind}) => kind === 'waiting'));
  pools.applyView(emptyView, []);
  t.is((await execution.answered).kind, 'complete');
  await pools[Symbol.asyncDispose]();
  await agent.listener[Symbol.asyncDispose]();
});

for (const isInView of [true, false]) {
  const when = isInView ? 'in the view' : 'at its agent, before the view';
  // Guards against tasks sent to an agent which was restarted for another service, over a link that its former pool kept.
  test(`a target that serves another service ${when} gets no tasks of its former one`, async t => {
    const agent = await openAgent();
    const pools = openPools(() => 1);
    pools.applyView(emptyView, [
      {kind: 'target-joined', target: agent.describe()},
    ]);
    while (!pools.listLinks()[0]!.isReady) await new Promise(setImmediate);
    Object.assign(agent.identity, {incarnation: 2, service: 'renewal'});
    if (isInView) {
      pools.applyView(emptyView, [
        {kind: 'target-joined', target: agent.describe()},
      ]);
    } else {
      agent.sessions[0]!.close('restarted');
    }
    while (agent.sessions.length < 2) await new Promise(setImmediate);
    await new Promise(resolve => setTimeout(resolve, 50));
    const job = createJob(buildSubmission('k', 2), monotonicClock.now() + 5000);
    pools.start(new Execution(job, 3));
    await new Promise(resolve => setTimeout(resolve, 50));
    t.is(agent.received.length, 0);
    Object.assign(agent.identity, {incarnation: 3, service: 'tally'});
    agent.sessions.at(-1)!.close('restarted');
    pools.applyView(emptyView, [
      {kind: 'target-joined', target: agent.describe()},
    ]);
    while (agent.received.length < 2) await new Promise(setImmediate);
    t.deepEqual(
      new Set(agent.received.map(({service}) => service)),
      new Set(['tally']),
    );
    await pools[Symbol.asyncDispose]();
    await agent.listener[Symbol.asyncDispose]();
  });
}
