import {connect} from 'node:net';
import test from 'ava';
import {defaultIntake, HttpDoor, Intake, type IntakeSettings} from '#intake';

const maxBodyBytes = 1000;

/** Serves bodies by their length; refusals have status 400 and their cause as the text. */
async function serve(settings: Partial<IntakeSettings> = {}) {
  const refused: string[] = [];
  const intake = new Intake({
    settings: {...defaultIntake, ...settings},
    onRefused: (_door, cause) => refused.push(cause),
  });
  const door = new HttpDoor({intake, door: {name: 'test'}, keepAliveMs: 0});
  door.server.on('request', async (req, res) => {
    if (door.admit(req, res).kind !== 'admitted') return;
    const received = await door.readBody(req, res, maxBodyBytes);
    received
      .ifLeft(text =>
        door.sendFinal(req, res, {
          status: 400,
          headers: {},
          text,
          lingers: text === 'too-large',
        }),
      )
      .ifRight(body => res.end(`got ${body.take().length}`));
  });
  await new Promise<void>(resolve =>
    door.server.listen(0, '127.0.0.1', resolve),
  );
  const address = door.server.address();
  const port = address !== null && typeof address === 'object' && address.port;
  return {
    intake,
    refused,
    /** Sends text and returns all that is answered until the connection ends. */
    ask: (text: string) =>
      new Promise<string>(resolve => {
        let answer = '';
        const socket = connect({host: '127.0.0.1', port: Number(port)});
        socket.on('data', chunk => (answer += chunk.toString()));
        socket.on('error', () => {});
        socket.on('close', () => resolve(answer));
        socket.write(text);
      }),
    [Symbol.asyncDispose]: async () => {
      intake[Symbol.dispose]();
      door.server.closeAllConnections();
      await new Promise(resolve => door.server.close(resolve));
    },
  };
}

const head = 'POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n';

test('a body is received whole, whatever its chunks', async t => {
  await using server = await serve();
  const chunked = `${head}transfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(300)}0\r\n\r\n`;
  t.regex(await server.ask(chunked), /got 300/);
  t.regex(await server.ask(`${head}content-length: 3\r\n\r\nabc`), /got 3/);
  t.regex(await server.ask(`${head}\r\n`), /got 0/);
  t.is(server.intake.bodies.heldBytes, 0);
  t.is(server.intake.requests, 0);
});

test('a body that announces too much is refused before it is read, and before the client is told to go on', async t => {
  await using server = await serve();
  const announced = `${head}content-length: 1001\r\nexpect: 100-continue\r\n\r\n`;
  const answer = await server.ask(announced);
  t.regex(answer, /^HTTP\/1.1 400.*too-large$/s);
  t.deepEqual(server.refused, ['too-large']);
});

test('a client that waits to be told goes on', async t => {
  await using server = await serve();
  const text = `${head}content-length: 2\r\nexpect: 100-continue\r\n\r\nab`;
  t.regex(await server.ask(text), /^HTTP\/1.1 100 .*got 2/s);
});

test('a chunked body that grows too large is refused, and nothing of it is held', async t => {
  await using server = await serve();
  const text = `${head}transfer-encoding: chunked\r\n\r\n${'64\r\n'}${'x'.repeat(100)}\r\n`;
  const chunks = `64\r\n${'x'.repeat(100)}\r\n`.repeat(20);
  t.regex(await server.ask(text + chunks), /too-large$/);
  t.is(server.intake.bodies.heldBytes, 0);
});

test('too many requests on one connection close it, and none stays counted', async t => {
  await using server = await serve({maxPipelinedRequests: 4});
  const one = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
  await server.ask(one.repeat(500));
  t.deepEqual(server.refused, ['pipelined']);
  t.regex(await server.ask(`${head}\r\n`), /got 0/);
  t.is(server.intake.requests, 0);
});
