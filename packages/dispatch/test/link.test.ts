import test from 'ava';
import {monotonicClock, type RunEnd} from '#model';
import {type Handlers, type Peer, PeerListener} from '#protocol';
import {openLog} from '#telemetry';
import {RunnerLink} from '../src/link.js';
import {buildTarget} from './stand.js';

const load = {
  open: true,
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  slowness: 1,
  failing: 0,
};

const demand = {cpuMillis: 1000, memoryMb: 1, accelerators: 0};

test('runs that were given up while the runner was being attached to get no permission there', async t => {
  const ends: RunEnd[] = [];
  const attached: Peer[] = [];
  const renew = (peer: Peer) =>
    peer.request('dispatcher.renew', {}, monotonicClock.now() + 300);
  // Keeps each attaching after the first one waiting until the runs are given up, as a paused runner does.
  const handlers: Handlers = {
    'runner.attach': async (_, peer) => {
      attached.push(peer);
      while (attached.length > 1 && ends.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
      }
      return {
        target: 'target',
        incarnation: 1,
        service: 'tally',
        ended: [],
        load,
      };
    },
    'runner.place': () => {},
  };
  await using listener = (
    await PeerListener.listen('127.0.0.1:0', handlers)
  ).unsafeCoerce();
  await using link = new RunnerLink(buildTarget('target', listener.address), {
    clock: monotonicClock,
    log: openLog('silent', 'entry', 'e'),
    dispatcher: 'd',
    life: 1,
    failureDomain: 'f',
    onEnd: (_target, _run, end) => void ends.push(end),
    onLoad: () => {},
  });
  while (!link.isOpen) await new Promise(resolve => setTimeout(resolve, 5));
  t.true((await renew(attached[0]!)).isRight());
  const run = {
    ticket: 1,
    ref: {job: 'job', step: 0, index: 0, run: 1},
    demand,
    placedAt: monotonicClock.now(),
    slownessThen: 1,
    isMoving: false,
  };
  link.place(
    {
      job: 'job',
      payload: '',
      step: 0,
      demand,
      estimateMs: 100,
      rankMs: 0,
      runs: [[1, 0, 1]],
    },
    new Map([[1, run]]),
  );
  attached[0]!.close('test');
  while (ends.length === 0)
    await new Promise(resolve => setTimeout(resolve, 1));
  t.deepEqual(ends, ['lapsed']);
  const answers = await Promise.all(attached.slice(1).map(renew));
  t.true(answers.every(answer => answer.isLeft()));
});
