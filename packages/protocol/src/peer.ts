import type {Socket} from 'node:net';
import {
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  type JSONRPCError,
  type JSONRPCErrorException,
  JSONRPCClient,
  JSONRPCErrorCode,
  type JSONRPCRequest,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import {type Either, Left, Right} from 'purify-ts';
import {
  BrokenInvariant,
  computeRemainingMs,
  type Instant,
  monotonicClock,
} from '#model';
import {checkParams} from './checks.js';
import {PatientTimer} from './patient-timer.js';
import {encodeFrame, FrameReader, preface} from './frame.js';
import type {
  MethodName,
  NoticeName,
  ParamsOf,
  RequestName,
  ResultOf,
} from './methods.js';

/** Why a request has no result. Only `rejected` proves that the other end saw it. */
export type RpcFailure =
  | {readonly kind: 'timeout'}
  | {readonly kind: 'disconnected'; readonly detail: string}
  | {readonly kind: 'rejected'; readonly detail: string};

type Handler<Name extends MethodName> = (
  params: ParamsOf<Name>,
  peer: Peer,
) => Name extends RequestName ? Promise<ResultOf<Name>> | ResultOf<Name> : void;

/** What one end of a connection serves. A method left out is refused by name. */
export type Handlers = {readonly [Name in MethodName]?: Handler<Name>};

/** How a connection tells a live peer from a silent one; all in ms. */
export interface Liveness {
  /** The other end is asked for a sign of life when nothing was received for this long. */
  readonly probeAfterMs: number;
  /** The connection is closed when nothing was received for this long. */
  readonly silenceLimitMs: number;
}

/** For a connection on which something is awaited. */
export const defaultLiveness: Liveness = {
  probeAfterMs: 1000,
  silenceLimitMs: 4000,
};

/** For a connection that is only held open: a few bytes a minute. */
export const idleLiveness: Liveness = {
  probeAfterMs: 20_000,
  silenceLimitMs: 45_000,
};

/** Where a socket that does not emit its bytes as events hands them; the chunk is overwritten afterwards. */
export interface ByteSink {
  receive: (chunk: Buffer) => void;
}

const maxBufferedBytes = 128 * 1024 * 1024;
const maxRequestMs = 2 ** 31 - 1;
const timeoutCode = 0;
/** Marks the errors of this end's own timer: no error from the wire is this object. */
const ownTimeout = {};

/**
 * One end of an inner connection: JSON-RPC 2.0 messages in MessagePack frames.
 * Messages are handled in the order sent. A peer that falls silent is closed.
 */
export class Peer implements AsyncDisposable {
  /** Resolves with the cause once the connection is over. */
  readonly closed: Promise<string>;

  private readonly rpc: JSONRPCServerAndClient;
  /** By method, for messages that are not answered. */
  private readonly listeners = new Map<string, (params: unknown) => void>();
  private readonly reader = new FrameReader();
  private watchdog: PatientTimer | undefined;
  private watchdogDueAt: Instant = Infinity;
  private resolveClosed!: (cause: string) => void;
  private closeCause: string | undefined;
  private lastReceived: Instant = monotonicClock.now();
  private isAsking = false;
  private lastId = 0;
  private outgoing: Buffer[] = [];

  constructor(
    private readonly socket: Socket,
    handlers: Handlers,
    private liveness: Liveness = defaultLiveness,
    sink?: ByteSink,
  ) {
    this.closed = new Promise(resolve => (this.resolveClosed = resolve));
    this.rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({errorListener: () => {}}),
      new JSONRPCClient(message => this.send(message)),
      {errorListener: () => {}},
    );
    this.rpc.server.mapErrorToJSONRPCErrorResponse = (id, error) =>
      createJSONRPCErrorResponse(
        id,
        (error as JSONRPCErrorException).code ?? JSONRPCErrorCode.InternalError,
        String((error as Error).message ?? error),
      );
    this.addHandlers(handlers);
    this.armWatchdog();
    socket.setNoDelay(true);
    if (sink === undefined) socket.on('data', chunk => this.receive(chunk));
    else sink.receive = chunk => this.receive(chunk);
    socket.on('error', error => this.close(error.message));
    socket.on('close', () => this.close('closed by the other end'));
    socket.write(preface);
  }

  /** True until the connection is over. */
  get isOpen(): boolean {
    return this.closeCause === undefined;
  }

  /** What was sent and the system has not yet taken, in bytes. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** For how long nothing was received, in ms. */
  get silentMs(): number {
    return monotonicClock.now() - this.lastReceived;
  }

  /** `host:port` of the other end, for logs. */
  get remoteAddress(): string {
    return `${this.socket.remoteAddress}:${this.socket.remotePort}`;
  }

  /** Changes how soon silence is noticed. Silence so far does not count. */
  setLiveness(liveness: Liveness): void {
    if (liveness === this.liveness) return;
    this.liveness = liveness;
    this.lastReceived = monotonicClock.now();
    this.armWatchdog();
  }

  /**
   * Closes the connection unless the other end lives: it is asked for a sign of
   * life when none came lately. For a notice that something depends on, on a
   * connection that is otherwise idle.
   */
  ensureAlive({probeAfterMs, silenceLimitMs}: Liveness): void {
    const askedAt = monotonicClock.now();
    if (this.isAsking || askedAt - this.lastReceived < probeAfterMs) return;
    this.isAsking = true;
    const deadline = askedAt + silenceLimitMs - probeAfterMs;
    void this.request('peer.sync', {}, deadline).then(() => {
      this.isAsking = false;
      if (this.lastReceived < askedAt) this.close('silent when asked');
    });
  }

  /** Sends a request and waits for its result until the deadline. */
  async request<Name extends RequestName>(
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<Either<RpcFailure, ResultOf<Name>>> {
    if (!this.isOpen) {
      return Left({kind: 'disconnected', detail: this.closeCause ?? ''});
    }
    const remainingMs = Math.min(
      maxRequestMs,
      Math.max(1, computeRemainingMs(monotonicClock.now(), deadline)),
    );
    const {client} = this.rpc;
    const id = ++this.lastId;
    const timer = new PatientTimer(remainingMs, () =>
      client.receive(
        createJSONRPCErrorResponse(id, timeoutCode, 'timeout', ownTimeout),
      ),
    );
    const response = await client.requestAdvanced({
      jsonrpc: '2.0',
      id,
      method,
      params,
    });
    timer[Symbol.dispose]();
    return response.error === undefined
      ? Right(response.result as ResultOf<Name>)
      : Left(this.describeFailure(response.error));
  }

  /** Sends a notice. It is lost when the connection ends before it arrives. */
  notify<Name extends NoticeName>(method: Name, params: ParamsOf<Name>): void {
    if (!this.isOpen) return;
    this.enqueue({jsonrpc: '2.0', method, params});
  }

  /** Ends the connection at once. Unanswered requests fail as disconnected. */
  close(cause: string): void {
    if (this.closeCause !== undefined) return;
    this.flush();
    this.closeCause = cause;
    this.watchdog?.[Symbol.dispose]();
    this.socket.destroy();
    this.rpc.rejectAllPendingRequests(`disconnected: ${cause}`);
    this.resolveClosed(cause);
  }

  /** Flushes what was sent, then ends the connection. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (!this.isOpen) return;
    this.flush();
    await new Promise<void>(resolve => this.socket.end(() => resolve()));
    this.close('closed by this end');
  }

  private addHandlers(handlers: Handlers): void {
    this.rpc.addMethod('peer.sync', () => ({}));
    for (const [name, handler] of Object.entries(handlers)) {
      const method = name as MethodName;
      const handle = handler as (params: unknown, peer: Peer) => unknown;
      this.rpc.addMethod(method, params =>
        checkParams(method, params).caseOf({
          Left: detail => {
            throw Object.assign(new Error(`${method}: ${detail}`), {
              code: JSONRPCErrorCode.InvalidParams,
            });
          },
          Right: checked => stopOnBrokenInvariant(() => handle(checked, this)),
        }),
      );
      this.listeners.set(method, params =>
        checkParams(method, params).ifRight(checked =>
          runListener(() => handle(checked, this)),
        ),
      );
    }
  }

  private receive(chunk: Buffer): void {
    this.lastReceived = monotonicClock.now();
    this.reader.readChunk(chunk).caseOf({
      Left: cause => this.close(`protocol error: ${cause}`),
      Right: messages => {
        for (const message of messages) this.dispatch(message);
      },
    });
  }

  /** What is not answered needs none of the promises of an answer. */
  private dispatch(message: unknown): void {
    if (isNotice(message)) {
      this.listeners.get(message.method)?.(message.params);
      return;
    }
    this.rpc.receiveAndSend(message, undefined, undefined).catch(error => {
      this.close(`protocol error: ${String(error)}`);
    });
  }

  private send(message: unknown): Promise<void> {
    if (!this.isOpen) {
      return Promise.reject(new Error(`disconnected: ${this.closeCause}`));
    }
    this.enqueue(message);
    return Promise.resolve();
  }

  /** Messages of one turn of the loop leave in one write. */
  private enqueue(message: unknown): void {
    if (this.outgoing.length === 0) setImmediate(() => this.flush());
    this.outgoing.push(encodeFrame(message));
  }

  private flush(): void {
    if (!this.isOpen || this.outgoing.length === 0) return;
    const chunk =
      this.outgoing.length === 1
        ? this.outgoing[0]!
        : Buffer.concat(this.outgoing);
    this.outgoing = [];
    this.socket.write(chunk);
    if (this.socket.writableLength > maxBufferedBytes) {
      this.close('the other end does not read');
    }
  }

  /** Leaves a watchdog that is due earlier: it looks at the liveness of then. */
  private armWatchdog(): void {
    if (!this.isOpen) return;
    const {probeAfterMs, silenceLimitMs} = this.liveness;
    const now = monotonicClock.now();
    const silentMs = now - this.lastReceived;
    const dueMs =
      silentMs < probeAfterMs
        ? probeAfterMs - silentMs
        : Math.min(probeAfterMs, silenceLimitMs - silentMs + 1);
    const dueAt = now + Math.max(1, dueMs);
    if (this.watchdogDueAt <= dueAt) return;
    this.watchdog?.[Symbol.dispose]();
    this.watchdogDueAt = dueAt;
    this.watchdog = new PatientTimer(dueAt - now, () => this.checkLiveness());
    this.watchdog.allowExit();
  }

  private checkLiveness(): void {
    this.watchdogDueAt = Infinity;
    const {probeAfterMs, silenceLimitMs} = this.liveness;
    const now = monotonicClock.now();
    const silentMs = now - this.lastReceived;
    if (silentMs > silenceLimitMs) {
      this.close(`silent for ${Math.round(silentMs)} ms`);
      return;
    }
    if (silentMs >= probeAfterMs) {
      void this.request('peer.sync', {}, now + silenceLimitMs);
    }
    this.armWatchdog();
  }

  private describeFailure({message, data}: JSONRPCError): RpcFailure {
    if (!this.isOpen) {
      return {kind: 'disconnected', detail: this.closeCause ?? ''};
    }
    if (data === ownTimeout) return {kind: 'timeout'};
    return {kind: 'rejected', detail: message};
  }
}

/** True of a JSON-RPC notification: a request without an id. */
function isNotice(message: unknown): message is JSONRPCRequest {
  if (typeof message !== 'object' || message === null) return false;
  return isJSONRPCRequest(message) && message.id === undefined;
}

/** What a notice's handler throws is told to nobody, but a broken invariant stops the process. */
function runListener(handle: () => unknown): void {
  try {
    handle();
  } catch (error) {
    throwBrokenInvariant(error);
  }
}

/** A broken invariant in a handler stops the process instead of being answered. */
async function stopOnBrokenInvariant(handle: () => unknown): Promise<unknown> {
  try {
    return await handle();
  } catch (error) {
    throwBrokenInvariant(error);
    throw error;
  }
}

/** Throws a broken invariant where nothing catches it. */
function throwBrokenInvariant(error: unknown): void {
  if (!(error instanceof BrokenInvariant)) return;
  setImmediate(() => {
    throw error;
  });
}
