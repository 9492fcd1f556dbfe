import {connect, createServer, type Server, type Socket} from 'node:net';
import {type Either, Left, Right} from 'purify-ts';
import type {Address, Instant} from '#model';
import {monotonicClock, computeRemainingMs, parseAddress} from '#model';
import {PatientTimer} from './patient-timer.js';
import {type ByteSink, type Handlers, type Liveness, Peer} from './peer.js';

const readBufferBytes = 64 * 1024;
/** Every dialled socket reads into it; each chunk is taken in before the next one is read. */
const readBuffer = Buffer.allocUnsafeSlow(readBufferBytes);

/**
 * How long a connection within a region may take to open, in ms. It takes one round trip; the system
 * sends a lost opening packet again after a second, so that dialling anew is quicker.
 */
export const dialTimeoutMs = 300;

/** Connects to a peer by the deadline, or says why it could not. */
export async function dialPeer(
  address: Address,
  handlers: Handlers,
  deadline: Instant,
  liveness?: Liveness,
): Promise<Either<string, Peer>> {
  return parseAddress(address).caseOf({
    Left: async detail => Left(detail),
    Right: async ({host, port}) =>
      (await openSocket(host, port, deadline)).map(
        ({socket, sink}) => new Peer(socket, handlers, liveness, sink),
      ),
  });
}

interface DialledSocket {
  readonly socket: Socket;
  readonly sink: ByteSink;
}

function openSocket(
  host: string,
  port: number,
  deadline: Instant,
): Promise<Either<string, DialledSocket>> {
  return new Promise(resolve => {
    const sink: ByteSink = {receive: () => {}};
    const socket = connect({
      host,
      port,
      onread: {
        buffer: readBuffer,
        callback: (count, buffer) => {
          sink.receive(Buffer.from(buffer.buffer, buffer.byteOffset, count));
          return true;
        },
      },
    });
    const timer = new PatientTimer(
      computeRemainingMs(monotonicClock.now(), deadline),
      () => giveUp('no connection by the deadline'),
    );
    const giveUp = (cause: string) => {
      timer[Symbol.dispose]();
      socket.destroy();
      resolve(Left(`${host}:${port}: ${cause}`));
    };
    socket.once('error', error => giveUp(error.message));
    socket.once('connect', () => {
      timer[Symbol.dispose]();
      socket.removeAllListeners('error');
      resolve(Right({socket, sink}));
    });
  });
}

/** Accepts inner connections. Disposal closes them all. */
export class PeerListener implements AsyncDisposable {
  readonly peers = new Set<Peer>();

  private constructor(
    private readonly server: Server,
    /** Where it listens, with the port that the system chose for port 0. */
    readonly address: Address,
  ) {}

  /** Listens at an address; fails with the system's error. Every connection serves the same handlers. */
  static listen(
    address: Address,
    handlers: Handlers,
    onPeer: (peer: Peer) => void = () => {},
    liveness?: Liveness,
  ): Promise<Either<string, PeerListener>> {
    return parseAddress(address).caseOf<Promise<Either<string, PeerListener>>>({
      Left: async detail => Left(detail),
      Right: ({host, port}) =>
        new Promise(resolve => {
          const server = createServer();
          server.once('error', error => resolve(Left(error.message)));
          server.listen(port, host, () => {
            const bound = server.address();
            const boundPort =
              bound !== null && typeof bound === 'object' ? bound.port : port;
            const listener = new PeerListener(server, `${host}:${boundPort}`);
            server.on('connection', socket => {
              const peer = new Peer(socket, handlers, liveness);
              listener.peers.add(peer);
              void peer.closed.then(() => listener.peers.delete(peer));
              onPeer(peer);
            });
            resolve(Right(listener));
          });
        }),
    });
  }

  /** Stops accepting and closes every connection after its last message left. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.server.close();
    await Promise.all([...this.peers].map(peer => peer[Symbol.asyncDispose]()));
  }
}
