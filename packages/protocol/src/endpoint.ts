import {connect, createServer, type Server, type Socket} from 'node:net';
import {type Either, Left, Right} from 'purify-ts';
import type {Door, Intake} from '#intake';
import type {Address, Instant} from '#model';
import {monotonicClock, computeRemainingMs, parseAddress} from '#model';
import {PostPollTimer} from './post-poll-timer.js';
import {type ByteSink, type Handlers, type Liveness, Peer} from './peer.js';

const innerDoor: Door = {name: 'inner'};
const readBufferBytes = 64 * 1024;
/** Shared by all dialled sockets: each chunk is consumed before the next one is read. */
const readBuffer = Buffer.allocUnsafeSlow(readBufferBytes);

/**
 * Timeout for opening a connection within a region, in ms. Opening takes one round trip. The operating
 * system retransmits a lost SYN only after a second, so dialling again is faster.
 */
export const dialTimeoutMs = 300;

/** Connects to a peer, or returns the error if that fails or the deadline passes. */
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
    const timer = new PostPollTimer(
      computeRemainingMs(monotonicClock.now(), deadline),
      () => fail('no connection by the deadline'),
    );
    const fail = (cause: string) => {
      timer[Symbol.dispose]();
      socket.destroy();
      resolve(Left(`${host}:${port}: ${cause}`));
    };
    socket.once('error', error => fail(error.message));
    socket.once('connect', () => {
      timer[Symbol.dispose]();
      socket.removeAllListeners('error');
      resolve(Right({socket, sink}));
    });
  });
}

/** Accepts connections from other processes of the system. Disposal closes them all. */
export class PeerListener implements AsyncDisposable {
  readonly peers = new Set<Peer>();

  private constructor(
    private readonly server: Server,
    /** The listening address, with the port that the system chose for port 0. */
    readonly address: Address,
  ) {}

  /** Listens at an address and serves the handlers on every connection. Returns the system's error on failure. */
  static listen(
    address: Address,
    handlers: Handlers,
    onPeer: (peer: Peer) => void = () => {},
    liveness?: Liveness,
    /** Limits what the other ends of all connections hold together. */
    intake?: Intake,
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
              const since = monotonicClock.now();
              const isAdmitted = intake?.connections.admit(
                socket,
                innerDoor,
                () => ({
                  stage: peer.hasReceived ? 'waiting' : 'silent',
                  since,
                }),
              );
              const peer = new Peer(
                socket,
                handlers,
                liveness,
                undefined,
                intake?.bodies,
              );
              if (isAdmitted === false) return;
              listener.peers.add(peer);
              void peer.closed.then(() => listener.peers.delete(peer));
              onPeer(peer);
            });
            resolve(Right(listener));
          });
        }),
    });
  }

  /** Stops accepting, and closes each connection after flushing its messages. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.server.close();
    await Promise.all([...this.peers].map(peer => peer[Symbol.asyncDispose]()));
  }
}
