import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {FaultProxy, type Identify, noFault} from '#bench';

/** Opens an echo server behind a proxy. */
async function openProxiedEcho(identify?: Identify) {
  const sockets: Socket[] = [];
  const server: Server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => {});
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const proxy = await FaultProxy.listen(0, `127.0.0.1:${port}`, identify);
  const close = async () => {
    await proxy[Symbol.asyncDispose]();
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return {proxy, sockets, close};
}

function startDial(proxy: FaultProxy): Socket {
  const socket = connect(Number(proxy.address.split(':')[1]), '127.0.0.1');
  socket.on('error', () => {});
  return socket;
}

async function dialThrough(proxy: FaultProxy): Promise<Socket> {
  const socket = startDial(proxy);
  await once(socket, 'connect');
  return socket;
}

function awaitClose(socket: Socket): Promise<void> {
  return new Promise(resolve => socket.once('close', () => resolve()));
}

async function exchange(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  const [reply] = await once(socket, 'data');
  return String(reply);
}

/** Whether the socket stays open and receives nothing during round trips on another connection. */
async function isStillSilent(socket: Socket, beside: Socket): Promise<boolean> {
  let heard = false;
  socket.once('data', () => (heard = true));
  socket.write('lost');
  for (let i = 0; i < 3; i++) await exchange(beside, 'ping');
  return !heard && !socket.destroyed;
}

test('bytes and half-close pass in both directions', async t => {
  const {proxy, close} = await openProxiedEcho();
  const socket = await dialThrough(proxy);
  t.is(await exchange(socket, 'a'), 'a');
  socket.end();
  await awaitClose(socket);
  while (proxy.connections > 0)
    await new Promise(resolve => setImmediate(resolve));
  t.is(proxy.connections, 0);
  await close();
});

test('a cut resets open connections and refuses new ones until restored', async t => {
  const {proxy, close} = await openProxiedEcho();
  const open = await dialThrough(proxy);
  await exchange(open, 'a');
  proxy.inject({kind: 'cut'});
  await awaitClose(open);
  const refused = startDial(proxy);
  refused.resume();
  await awaitClose(refused);
  proxy.restore();
  t.is(await exchange(await dialThrough(proxy), 'b'), 'b');
  await close();
});

test('a freeze holds bytes back until it ends', async t => {
  const {proxy, sockets, close} = await openProxiedEcho();
  const socket = await dialThrough(proxy);
  await exchange(socket, 'a');
  proxy.inject({kind: 'freeze'});
  const reply = exchange(socket, 'held');
  const late = await dialThrough(proxy);
  const lateReply = exchange(late, 'late');
  while (sockets.length < 2)
    await new Promise(resolve => setImmediate(resolve));
  t.true(sockets.every(one => !one.destroyed) && !socket.destroyed);
  proxy.restore();
  t.is(await reply, 'held');
  t.is(await lateReply, 'late');
  await close();
});

test('a silenced connection stays open without traffic while new ones work', async t => {
  const {proxy, sockets, close} = await openProxiedEcho();
  const old = await dialThrough(proxy);
  await exchange(old, 'a');
  proxy.swallowOpen();
  const fresh = await dialThrough(proxy);
  t.true(await isStillSilent(old, fresh));
  old.destroy();
  await exchange(fresh, 'b');
  t.false(sockets[0]!.destroyed);
  await close();
});

test('swallowing one direction leaves the other intact', async t => {
  const {proxy, sockets, close} = await openProxiedEcho();
  const socket = await dialThrough(proxy);
  await exchange(socket, 'a');
  proxy.inject({kind: 'swallow', way: 'to-client'});
  const arrived = once(sockets[0]!, 'data');
  socket.write('one way');
  t.is(String((await arrived)[0]), 'one way');
  proxy.restore();
  t.true(await isStillSilent(socket, await dialThrough(proxy)));
  await close();
});

test('delayed chunks arrive later and in order', async t => {
  const {proxy, close} = await openProxiedEcho();
  const socket = await dialThrough(proxy);
  proxy.inject({kind: 'delay', ms: 20});
  const startedAt = performance.now();
  t.is(await exchange(socket, 'a'), 'a');
  t.true(performance.now() - startedAt >= 39);
  await close();
});

test('a fault can be limited to one source', async t => {
  const names = ['blocked', 'free'];
  const {proxy, close} = await openProxiedEcho(() => names.shift());
  const blocked = await dialThrough(proxy);
  await exchange(blocked, 'a');
  const free = await dialThrough(proxy);
  proxy.inject({kind: 'cut'}, 'blocked');
  await awaitClose(blocked);
  t.is(await exchange(free, 'b'), 'b');
  await close();
});

test('a reset removes a connection whose half-close is being relayed', async t => {
  const {proxy, close} = await openProxiedEcho();
  const socket = await dialThrough(proxy);
  t.is(await exchange(socket, 'a'), 'a');
  proxy.inject({kind: 'freeze'});
  socket.end();
  await once(socket, 'finish');
  for (let i = 0; i < 20; i++) {
    await new Promise(resolve => setImmediate(resolve));
  }
  proxy.inject(noFault);
  proxy.resetOpen();
  while (proxy.connections > 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  t.is(proxy.connections, 0);
  await close();
});
