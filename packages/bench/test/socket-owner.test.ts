import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {type AddressInfo, connect, createServer, type Server} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {findSocketOwner} from '../src/socket-owner.js';

const host = '127.0.0.1';
/** Dials the port given by the first argument from the local port given by the second. */
const dialProgram = `
  const [port, localPort] = process.argv.slice(1).map(Number);
  require('node:net').connect({host: '${host}', port, localPort}).resume();
`;

async function openServer(t: ExecutionContext): Promise<Server> {
  const server = createServer(socket => socket.on('error', () => {}));
  server.listen(0, host);
  await once(server, 'listening');
  t.teardown(() => server.close());
  return server;
}

function readPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

test('connections to different addresses that share a local port keep their owners', async t => {
  const here = await openServer(t);
  const there = await openServer(t);
  // Binds to an address explicitly, so that the child can bind the same local port.
  const socket = connect({host, port: readPort(here), localAddress: host});
  t.teardown(() => socket.destroy());
  await once(socket, 'connect');
  const localPort = socket.localPort!;
  const accepted = once(there, 'connection');
  const child = spawn(
    process.execPath,
    ['-e', dialProgram, String(readPort(there)), String(localPort)],
    {stdio: 'ignore'},
  );
  t.teardown(() => child.kill());
  await accepted;

  const local = `${host}:${localPort}`;
  for (const pids of [
    [process.pid, child.pid!],
    [child.pid!, process.pid],
  ]) {
    const findOwner = (server: Server) =>
      findSocketOwner({local, remote: `${host}:${readPort(server)}`}, pids);
    t.is(findOwner(here), process.pid);
    t.is(findOwner(there), child.pid);
  }
});
