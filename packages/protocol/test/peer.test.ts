import test from 'ava';
import {monotonicClock} from '#model';
import {
  dialPeer,
  type Handlers,
  type Liveness,
  type Peer,
  PeerListener,
  preface,
} from '#protocol';

const getDeadline = () => monotonicClock.now() + 5000;

async function connectPair(
  served: Handlers,
  dialled: Handlers = {},
  liveness?: Liveness,
) {
  const listener = (
    await PeerListener.listen('127.0.0.1:0', served, undefined, liveness)
  ).unsafeCoerce();
  const peer: Peer = (
    await dialPeer(listener.address, dialled, getDeadline(), liveness)
  ).unsafeCoerce();
  return {listener, peer};
}

test('a request is answered with the handler result', async t => {
  const {listener, peer} = await connectPair({
    'entry.peek': ({job}) => ({kind: 'running', tasks: job.length, ended: 0}),
  });
  const reply = await peer.request('entry.peek', {job: 'abc'}, getDeadline());
  t.deepEqual(reply.extract(), {kind: 'running', tasks: 3, ended: 0});
  await peer[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});

test('invalid parameters are rejected by name and the connection stays open', async t => {
  const {listener, peer} = await connectPair({
    'entry.peek': () => ({kind: 'absent'}),
  });
  const wrong = await peer.request(
    'entry.peek',
    {job: 7} as never,
    getDeadline(),
  );
  const failure = wrong.swap().unsafeCoerce();
  t.is(failure.kind, 'rejected');
  t.true(failure.kind === 'rejected' && failure.detail.includes('"job"'));
  t.true(
    (await peer.request('entry.peek', {job: 'a'}, getDeadline())).isRight(),
  );
  await peer[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});

test('notifications arrive in the order sent', async t => {
  const seen: number[] = [];
  let resolveAll = () => {};
  const all = new Promise<void>(resolve => (resolveAll = resolve));
  const {listener, peer} = await connectPair({
    'agent.release': ({slots}) => {
      if (seen.push(slots) === 100) resolveAll();
    },
  });
  for (let i = 0; i < 100; i++) peer.notify('agent.release', {slots: i});
  await all;
  t.deepEqual(
    seen,
    Array.from({length: 100}, (_, i) => i),
  );
  await peer[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});

test('an invalid or failing notification is dropped and the next one is handled', async t => {
  const seen: number[] = [];
  const {listener, peer} = await connectPair({
    'agent.release': ({slots}) => {
      if (slots === 1) throw new Error('refused');
      seen.push(slots);
    },
  });
  peer.notify('agent.release', {slots: -1});
  peer.notify('agent.release', {slots: 1});
  peer.notify('agent.reserve', {slots: 2});
  peer.notify('agent.release', {slots: 3});
  t.true((await peer.request('peer.sync', {}, getDeadline())).isRight());
  t.deepEqual(seen, [3]);
  await peer[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});

for (const side of ['dialling', 'dialled'] as const) {
  test(`messages split into many chunks are reassembled at the ${side} end`, async t => {
    const sizes = [3, 5_000_000, 0, 70_000];
    const seen: Uint8Array[] = [];
    let resolveAll = () => {};
    const all = new Promise<void>(resolve => (resolveAll = resolve));
    const handlers: Handlers = {
      'control.replicate': ({message}) => {
        if (seen.push(message as Uint8Array) === sizes.length) resolveAll();
      },
    };
    const {listener, peer} = await connectPair(handlers, handlers);
    await peer.request('peer.sync', {}, getDeadline());
    const sender = side === 'dialled' ? peer : [...listener.peers][0]!;
    sizes.forEach((size, i) =>
      sender.notify('control.replicate', {
        from: 'a',
        message: Buffer.alloc(size, i + 1),
      }),
    );
    await all;
    t.true(seen.every((bytes, i) => bytes.every(byte => byte === i + 1)));
    t.deepEqual(
      seen.map(({length}) => length),
      sizes,
    );
    await peer[Symbol.asyncDispose]();
    await listener[Symbol.asyncDispose]();
  });
}

test('a request in flight fails as disconnected when the connection ends', async t => {
  const {listener, peer} = await connectPair({
    'entry.peek': () => new Promise(() => {}),
  });
  const reply = peer.request('entry.peek', {job: 'a'}, getDeadline());
  await listener[Symbol.asyncDispose]();
  t.is((await reply).swap().unsafeCoerce().kind, 'disconnected');
});

test('a connection that speaks another protocol is closed and the listener keeps accepting', async t => {
  const {listener} = await connectPair({});
  const {connect} = await import('node:net');
  const port = Number(listener.address.split(':')[1]);
  const client = connect(port, '127.0.0.1');
  client.resume();
  client.on('error', () => {});
  client.write('GET / HTTP/1.1\r\n\r\n');
  await new Promise(resolve => client.once('close', resolve));
  const again = await dialPeer(listener.address, {}, getDeadline());
  t.true(again.isRight());
  await again.unsafeCoerce()[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});

test('a request timer that fires slightly early causes a timeout, not a rejection', async t => {
  const {listener, peer} = await connectPair({
    'entry.peek': () => new Promise(() => {}),
  });
  for (let i = 0; i < 100; i++) {
    const deadline = monotonicClock.now() + 2.95;
    const reply = await peer.request('entry.peek', {job: 'a'}, deadline);
    t.is(reply.swap().unsafeCoerce().kind, 'timeout');
  }
  await peer[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});

/** Opens a server that accepts connections, sends the preface and then nothing more. */
async function openSilentServer() {
  const {createServer} = await import('node:net');
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.resume();
    socket.write(preface);
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as {port: number};
  return {server, address: `127.0.0.1:${port}`};
}

test('a connection to a silent peer is closed soon after stricter liveness settings are applied', async t => {
  const {server, address} = await openSilentServer();
  const idle = {probeAfterMs: 60_000, silenceLimitMs: 120_000};
  const busy = {probeAfterMs: 5, silenceLimitMs: 30};
  const peer = (
    await dialPeer(address, {}, getDeadline(), idle)
  ).unsafeCoerce();
  t.true(peer.isOpen);
  peer.setLiveness(busy);
  t.regex(await peer.closed, /silent/);
  server.close();
});

test('an idle peer answers probes and its connection stays open', async t => {
  const {listener, peer} = await connectPair(
    {},
    {},
    {probeAfterMs: 5, silenceLimitMs: 5000},
  );
  for (let i = 0; i < 20; i++) {
    t.true((await peer.request('peer.sync', {}, getDeadline())).isRight());
    await new Promise(resolve => setTimeout(resolve, 6));
  }
  t.true(peer.isOpen);
  await peer[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});

test('an idle connection is closed when its peer does not answer a probe', async t => {
  const {server, address} = await openSilentServer();
  const idle = {probeAfterMs: 60_000, silenceLimitMs: 120_000};
  const peer = (
    await dialPeer(address, {}, getDeadline(), idle)
  ).unsafeCoerce();
  const probing = setInterval(
    () => peer.ensureAlive({probeAfterMs: 5, silenceLimitMs: 30}),
    10,
  );
  t.is(await peer.closed, 'silent when asked');
  clearInterval(probing);
  server.close();
});

test('a peer that answers probes stays connected, however often it is probed', async t => {
  const {listener, peer} = await connectPair({});
  for (let i = 0; i < 20; i++) {
    peer.ensureAlive({probeAfterMs: 0, silenceLimitMs: 5000});
    t.true((await peer.request('peer.sync', {}, getDeadline())).isRight());
  }
  t.true(peer.isOpen);
  await peer[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});

test('parameters that are nested too deeply are rejected and neither process stops', async t => {
  const {listener, peer} = await connectPair({
    'entry.peek': () => ({kind: 'absent'}),
    'agent.release': () => t.fail(),
  });
  let deep: unknown = [];
  for (let i = 0; i < 1000; i++) deep = [deep];
  peer.notify('agent.release', {slots: deep} as never);
  const wrong = await peer.request(
    'entry.peek',
    {job: deep} as never,
    getDeadline(),
  );
  t.true(wrong.isLeft());
  await peer[Symbol.asyncDispose]();
  await listener[Symbol.asyncDispose]();
});
