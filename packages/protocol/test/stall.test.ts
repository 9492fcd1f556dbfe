import test from 'ava';
import {monotonicClock} from '#model';
import {dialPeer, type Handlers, PeerListener} from '#protocol';

/** Longer than each limit below, as a turn of the loop may be at a process with little processor time. */
const stallMs = 150;
const limitMs = 60;

/** Keeps the event loop from running. */
function holdLoop(): void {
  const until = monotonicClock.now() + stallMs;
  while (monotonicClock.now() < until);
}

/** Stands still after what was sent in this turn has left. */
async function holdLoopAfterSending(): Promise<void> {
  for (let i = 0; i < 50; i++) await Promise.resolve();
  setImmediate(holdLoop);
}

async function listen(handlers: Handlers = {}) {
  const listening = await PeerListener.listen('127.0.0.1:0', handlers);
  return listening.unsafeCoerce();
}

test('a connection that was opened while this process stood still is taken', async t => {
  await using listener = await listen();
  const dialling = dialPeer(
    listener.address,
    {},
    monotonicClock.now() + limitMs,
  );
  holdLoop();
  const dialled = await dialling;
  dialled.ifRight(peer => peer.close('the test is over'));
  t.true(dialled.isRight(), String(dialled.extract()));
});

test('an answer that came while this process stood still is taken', async t => {
  await using listener = await listen({
    'entry.peek': () => {
      void holdLoopAfterSending();
      return {kind: 'absent'};
    },
  });
  const dialled = await dialPeer(
    listener.address,
    {},
    monotonicClock.now() + 1000,
  );
  await using peer = dialled.unsafeCoerce();
  const reply = await peer.request(
    'entry.peek',
    {job: 'a'},
    monotonicClock.now() + limitMs,
  );
  t.deepEqual(reply.extract(), {kind: 'absent'});
});

test('a peer that sent while this process stood still is not silent', async t => {
  const handlers: Handlers = {
    'entry.peek': (_params, other) => {
      other.notify('agent.release', {slots: 1});
      void holdLoopAfterSending();
      return {kind: 'absent'};
    },
  };
  await using listener = await listen(handlers);
  const dialled = await dialPeer(
    listener.address,
    {'agent.release': () => {}},
    monotonicClock.now() + 1000,
    {probeAfterMs: limitMs / 2, silenceLimitMs: limitMs},
  );
  await using peer = dialled.unsafeCoerce();
  void peer.request('entry.peek', {job: 'a'}, monotonicClock.now() + 1000);
  await new Promise(resolve => setTimeout(resolve, 2 * limitMs));
  t.true(peer.isOpen);
});
