import test from 'ava';
import {monotonicClock} from '#model';
import {dialPeer, type Handlers, PeerListener} from '#protocol';

/** Longer than each limit below, as an event loop iteration can be in a process that is short of CPU time. */
const stallMs = 150;
const limitMs = 60;

/** Blocks the event loop for the stall time. */
function holdEventLoop(): void {
  const until = monotonicClock.now() + stallMs;
  while (monotonicClock.now() < until);
}

/** Blocks the event loop once the messages sent in this iteration have been written. */
async function holdEventLoopAfterSending(): Promise<void> {
  for (let i = 0; i < 50; i++) await Promise.resolve();
  setImmediate(holdEventLoop);
}

async function listen(handlers: Handlers = {}) {
  const listening = await PeerListener.listen('127.0.0.1:0', handlers);
  return listening.unsafeCoerce();
}

test('a connection that opened while the event loop was blocked is used', async t => {
  await using listener = await listen();
  const dialling = dialPeer(
    listener.address,
    {},
    monotonicClock.now() + limitMs,
  );
  holdEventLoop();
  const dialled = await dialling;
  dialled.ifRight(peer => peer.close('the test is over'));
  t.true(dialled.isRight(), String(dialled.extract()));
});

test('an answer that arrived while the event loop was blocked is accepted', async t => {
  await using listener = await listen({
    'entry.peek': () => {
      void holdEventLoopAfterSending();
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

test('a peer whose messages arrived while the event loop was blocked is not considered silent', async t => {
  const handlers: Handlers = {
    'entry.peek': (_params, other) => {
      other.notify('agent.release', {slots: 1});
      void holdEventLoopAfterSending();
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
