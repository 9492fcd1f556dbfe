import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {type Either, Left, Right} from 'purify-ts';
import type {BodyHold} from './account.js';
import {type Door, HttpConnection} from './connections.js';
import type {Intake} from './intake.js';

const maxHeaderBytes = 16 * 1024;
/** How often Node.js looks for headers that took too long, in ms. */
const headerCheckIntervalMs = 1000;
/** How long a connection stays open after a refusal, so that the client can read it, in ms. */
const lingerMs = 1000;
/** Answers that a connection may leave unread while it sends further requests, in bytes. */
const maxUnreadBytes = 64 * 1024;

export interface HttpDoorOptions {
  readonly intake: Intake;
  readonly door: Door;
  /** How long a connection may be idle between requests, in ms; 0 for any time. */
  readonly keepAliveMs: number;
}

/** What becomes of a request that has arrived. */
export type Admission =
  | {readonly kind: 'admitted'}
  /** The connection was closed. */
  | {readonly kind: 'closed'}
  /** The request is to be refused. */
  | {readonly kind: 'refused'};

/** Why a body cannot be used; `disconnected` when no answer can be sent. */
export type BodyRefusal =
  'too-large' | 'too-slow' | 'overloaded' | 'disconnected';

/** A complete body, counted among the bytes held until it is taken. */
export interface ReceivedBody {
  /** Returns the bytes, which are then held by the caller alone. */
  readonly take: () => Buffer;
  /** Drops the bytes if they were not taken. */
  readonly drop: () => void;
}

/** A refusal that ends its connection. */
export interface FinalAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
  /** Reads and drops the rest of the body for a moment: a connection that is closed with unread bytes is reset, and the answer may be lost. */
  readonly lingers: boolean;
}

const emptyBody: ReceivedBody = {take: () => Buffer.alloc(0), drop: () => {}};

/** An HTTP server whose connections, headers and bodies count among a process's intake. */
export class HttpDoor {
  readonly server: Server;
  private readonly connections = new WeakMap<Socket, HttpConnection>();
  private readonly awaitingContinue = new WeakSet<IncomingMessage>();

  constructor(private readonly options: HttpDoorOptions) {
    const {intake, door, keepAliveMs} = options;
    this.server = createServer({
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: intake.settings.maxHeaderMs,
      requestTimeout: 0,
      keepAliveTimeout: keepAliveMs,
      connectionsCheckingInterval: headerCheckIntervalMs,
    });
    this.server.on('connection', socket => {
      const connection = new HttpConnection(intake.clock);
      this.connections.set(socket, connection);
      // Answers that are queued behind another one are not closed with their connection.
      socket.once('close', () => {
        intake.requests -= connection.open;
        connection.open = 0;
      });
      intake.connections.admit(socket, door, () => connection.describe());
    });
    this.server.on('checkContinue', (req, res) => {
      this.awaitingContinue.add(req);
      this.server.emit('request', req, res);
    });
  }

  /** Counts a request that has arrived, before anything is done for it. */
  admit(req: IncomingMessage, res: ServerResponse): Admission {
    const {intake, door} = this.options;
    const {socket} = req;
    const connection = this.connections.get(socket);
    if (connection === undefined || socket.destroyed) return {kind: 'closed'};
    connection.open++;
    intake.requests++;
    connection.enter('waiting');
    res.once('prefinish', () => connection.enter('slow'));
    res.once('close', () => {
      if (connection.open === 0) return;
      connection.open--;
      intake.requests--;
      connection.enter(connection.open === 0 ? 'idle' : 'waiting');
    });
    const maxPipelined = Math.min(
      door.maxPipelinedRequests ?? Infinity,
      intake.settings.maxPipelinedRequests,
    );
    const isOverPipelined = connection.open > maxPipelined;
    if (isOverPipelined || socket.writableLength > maxUnreadBytes) {
      stopParsing(socket);
      socket.destroy();
      intake.onRefused(door, isOverPipelined ? 'pipelined' : 'unread');
      return {kind: 'closed'};
    }
    if (intake.requests <= intake.settings.maxRequests) {
      return {kind: 'admitted'};
    }
    intake.onRefused(door, 'requests');
    return {kind: 'refused'};
  }

  /** Reads the body of an admitted request. A body that announces more than `maxBytes` is refused unread. */
  readBody(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
  ): Promise<Either<BodyRefusal, ReceivedBody>> {
    const announced = Number(req.headers['content-length'] ?? 0);
    const isChunked = req.headers['transfer-encoding'] !== undefined;
    if (announced === 0 && !isChunked) return Promise.resolve(Right(emptyBody));
    const {intake, door} = this.options;
    if (announced > maxBytes) {
      intake.onRefused(door, 'too-large');
      return Promise.resolve(Left('too-large'));
    }
    if (this.awaitingContinue.has(req)) res.writeContinue();
    const connection = this.connections.get(req.socket);
    connection?.enter('slow');
    return new Promise(resolve => {
      const fail = (cause: BodyRefusal) => {
        stop();
        hold.drop();
        if (cause !== 'disconnected') intake.onRefused(door, cause);
        resolve(Left(cause));
      };
      const hold = intake.bodies.open({onCut: fail, isTimed: true});
      let whole: Buffer | undefined;
      const onData = (chunk: Buffer) => {
        // Most requests come in one piece, which needs no copy.
        if (hold.length === 0 && chunk.length === announced) whole = chunk;
        else if (hold.length + chunk.length > maxBytes) fail('too-large');
        else hold.append(chunk);
      };
      const onEnd = () => {
        stop();
        hold.finish();
        connection?.enter('waiting');
        resolve(
          Right(
            whole === undefined ? describeReceived(hold) : receiveWhole(whole),
          ),
        );
      };
      const onLost = () => fail('disconnected');
      const stop = () => {
        req.off('data', onData).off('end', onEnd).off('close', onLost);
      };
      req.on('data', onData).on('end', onEnd).on('close', onLost);
      req.on('error', onLost);
    });
  }

  /** Sends an answer to a request whose body is not read to its end, and closes the connection. The rest of the body is dropped. */
  sendFinal(
    req: IncomingMessage,
    res: ServerResponse,
    {status, headers, text, lingers}: FinalAnswer,
  ): void {
    if (res.destroyed || res.headersSent) return;
    const {socket} = req;
    const {garbage} = this.options.intake;
    res.writeHead(status, {
      ...headers,
      'content-length': Buffer.byteLength(text),
      connection: 'close',
    });
    const timer = setTimeout(() => socket.destroy(), lingerMs);
    socket.once('close', () => clearTimeout(timer));
    if (!lingers) {
      // What the client has still sent may reset the connection before it reads the answer.
      res.end(text);
      return;
    }
    if (text === '') res.flushHeaders();
    else res.write(text);
    req.once('end', () => res.end());
    req.on('data', chunk => garbage.noteChunk(chunk.length));
  }
}

/** Tells the parser of Node.js to stop after this request, as for a change of protocol. */
const stopParser = 2;

/**
 * Stops Node.js from parsing what it has already read from a connection: a read may hold thousands of
 * requests, each of which would be kept until the connection is closed.
 */
function stopParsing(socket: Socket): void {
  const {parser} = socket as Socket & {parser?: {onIncoming?: () => number}};
  if (parser?.onIncoming) parser.onIncoming = () => stopParser;
}

function receiveWhole(body: Buffer): ReceivedBody {
  return {take: () => body, drop: () => {}};
}

function describeReceived(hold: BodyHold): ReceivedBody {
  let isHeld = true;
  const release = <Result>(action: () => Result) => {
    isHeld = false;
    return action();
  };
  return {
    take: () => release(() => hold.take()),
    drop: () => {
      if (isHeld) release(() => hold.drop());
    },
  };
}
