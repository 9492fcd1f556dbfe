import {connect} from 'node:net';
import test from 'ava';
import {BlockBuffer, defaultIntake, Intake} from '#intake';
import {
  encodeFrame,
  FrameReader,
  type Handlers,
  Peer,
  PeerListener,
  preface,
} from '#protocol';

const kb = 1024;
const handlers: Handlers = {};

function open(port: number, bytes: Buffer): Promise<void> {
  return new Promise(resolve => {
    const socket = connect({host: '127.0.0.1', port});
    socket.on('error', () => {});
    socket.on('close', () => resolve());
    socket.resume();
    socket.write(bytes);
  });
}

test('a frame that arrives byte by byte costs its bytes', t => {
  const pending = new BlockBuffer();
  const reader = new FrameReader(() => pending);
  const message = 'x'.repeat(20 * kb);
  const bytes = Buffer.concat([preface, encodeFrame(message)]);
  let read: readonly unknown[] = [];
  for (let i = 0; i < bytes.length; i++) {
    read = reader.readChunk(bytes.subarray(i, i + 1)).unsafeCoerce();
    t.true(pending.capacity <= 32 * kb);
  }
  t.deepEqual(read, [message]);
});

test('frames that stop before their end are cut once they hold too much together, and other ends are served', async t => {
  const intake = new Intake({
    settings: {...defaultIntake, maxHeldBytes: 256 * kb},
  });
  const listening = await PeerListener.listen(
    '127.0.0.1:0',
    handlers,
    undefined,
    undefined,
    intake,
  );
  await using listener = listening.unsafeCoerce();
  const port = Number(listener.address.split(':')[1]);
  const frame = encodeFrame('x'.repeat(100 * kb)).subarray(0, -1);
  const bytes = Buffer.concat([preface, frame]);
  const held = Array.from({length: 6}, () => open(port, bytes));
  await Promise.race(held);
  t.true(intake.bodies.heldBytes <= 256 * kb);
  const socket = connect({host: '127.0.0.1', port});
  await using peer = new Peer(socket, handlers);
  const answer = await peer.request('peer.sync', {}, Infinity);
  t.true(answer.isRight());
  intake[Symbol.dispose]();
});
