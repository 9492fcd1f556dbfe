import test from 'ava';
import {monotonicClock, type TargetInfo} from '#model';
import {
  type FenceParams,
  type FenceResult,
  type Peer,
  PeerListener,
} from '#protocol';
import {openLog} from '#telemetry';
import {collectFenceReport} from '../src/fence-report.js';
import {AgentLink} from '../src/agent-link.js';

const running = (task: number) => ({
  job: 'j',
  task,
  standing: {kind: 'running' as const},
});
const succeeded = (task: number) => ({
  job: 'j',
  task,
  fate: {kind: 'succeeded' as const, result: task},
  runMs: 1,
});
type Page = Pick<FenceResult, 'tasks' | 'next'>;

/**
 * A link of the successor, epoch 2, to an agent that answers fence requests with `fence` and calls
 * `greet` before it opens a session.
 */
async function openLink(
  fence: (params: FenceParams, peer: Peer) => Page,
  greet: (peer: Peer) => void = () => {},
) {
  const calls: string[] = [];
  const listener = (
    await PeerListener.listen('127.0.0.1:0', {
      'agent.hello': (_, peer) => {
        greet(peer);
        return {kind: 'welcome', target: describe(), slots: 4};
      },
      'agent.query': ({tasks}) => ({
        standings: tasks.map(() => ({kind: 'running'})),
      }),
      'agent.fence': (params, peer) => ({
        target: 't1',
        incarnation: 1,
        ...fence(params, peer),
      }),
    })
  ).unsafeCoerce();
  const describe = (): TargetInfo => ({
    target: 't1',
    incarnation: 1,
    service: 'tally',
    address: listener.address,
    place: {site: 's', region: 'r', failureDomain: 'd', rack: 'k'},
    capacity: {kind: 'executor', slots: 1, maxConnections: 1},
    leaving: false,
  });
  let connections = 0;
  const link = new AgentLink(describe(), {
    entry: 'entry-2',
    clock: monotonicClock,
    log: openLog('silent', 'entry', 'entry-2'),
    getEpoch: () => 2,
    nextConnection: () => ++connections,
    onOpened: () => void calls.push('opened'),
    onClosed: () => {},
    onGranted: (_, slots) => void calls.push(`granted ${slots}`),
    onRecalled: (_, slots) => void calls.push(`recalled ${slots}`),
    onUnawaitedEnd: () => {},
  });
  const close = async () => {
    await link[Symbol.asyncDispose]();
    await listener[Symbol.asyncDispose]();
  };
  return {link, close, calls};
}

test('a takeover processes every page, including tasks that end meanwhile', async t => {
  const {link, close} = await openLink(({after}, peer) => {
    if (after === 0) {
      peer.notify('entry.report', {tasks: [succeeded(1)], slots: 0});
      return {tasks: [running(0)], next: 5};
    }
    setImmediate(() =>
      peer.notify('entry.report', {tasks: [succeeded(0)], slots: 0}),
    );
    return {tasks: [running(1)]};
  });
  const {tasks, answered, silent} = await collectFenceReport([link], [1], 2);
  t.deepEqual([[...answered], silent], [[['t1', 1]], []]);
  for (const task of [0, 1]) {
    const inherited = tasks.get(`j.${task}`);
    t.is(inherited?.kind, 'running');
    if (inherited?.kind !== 'running') continue;
    t.deepEqual((await inherited.end).fate, succeeded(task).fate);
  }
  await close();
});

test('a takeover starts over when the connection is lost between pages', async t => {
  const asked: number[] = [];
  const {link, close} = await openLink(({after}, peer) => {
    asked.push(after);
    if (asked.length === 2) peer.close('lost');
    return after === 0 ? {tasks: [running(0)], next: 5} : {tasks: [running(1)]};
  });
  const {tasks, silent} = await collectFenceReport([link], [1], 2);
  t.deepEqual(asked, [0, 5, 0, 5]);
  t.deepEqual([...tasks.keys()], ['j.0', 'j.1']);
  t.deepEqual(silent, []);
  await close();
});

test('slots recalled before the session is open are returned once it is', async t => {
  const {link, close, calls} = await openLink(
    () => ({tasks: []}),
    peer => {
      peer.notify('entry.grant', {slots: 4});
      peer.notify('entry.recall', {slots: 2});
    },
  );
  while (!link.isReady) await new Promise(resolve => setTimeout(resolve, 2));
  t.deepEqual(calls, ['opened', 'granted 4', 'recalled 2']);
  await close();
});
