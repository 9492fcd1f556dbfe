import {once} from 'node:events';
import {createServer} from 'node:net';
import test from 'ava';
import {PortRange} from '../src/ports.js';

test('ranges never hand out the same port, also while nothing listens on it', async t => {
  // More than the ports of one block.
  const count = 250;
  const ranges = [PortRange.createReserving(), PortRange.createReserving()];
  const ports = await Promise.all(ranges.map(range => range.takeMany(count)));
  t.is(new Set(ports.flat()).size, 2 * count);
});

test('a port on which something listens is skipped', async t => {
  const first = await PortRange.getShared().take();
  const range = PortRange.startAt(first);
  const server = createServer().listen(first, '127.0.0.1');
  t.teardown(() => server.close());
  await once(server, 'listening');
  t.not(await range.take(), first);
});
