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
import type {BodyAccount} from '#intake';
import {
  BrokenInvariant,
  computeRemainingMs,
  type Instant,
  monotonicClock,
} from '#model';
import {checkParams} from './checks.js';
import {PostPollTimer} from './post-poll-timer.js';
import {encodeFrame, FrameReader, preface} from './frame.js';
import type {
  MethodName,
  NotificationName,
  ParamsOf,
  RequestName,
  ResultOf,
} from './methods.js';

/** Why a request has no result. Only `rejected` proves that the other end received it. */
export type RpcFailure =
  | {readonly kind: 'timeout'}
  | {readonly kind: 'disconnected'; readonly detail: string}
  | {readonly kind: 'rejected'; readonly detail: string};

type Handler<Name extends MethodName> = (
  params: ParamsOf<Name>,
  peer: Peer,
) => Name extends RequestName ? Promise<ResultOf<Name>> | ResultOf<Name> : void;

/** The methods that one end of a connection serves. A request for any other method is rejected. */
export type Handlers = {readonly [Name in MethodName]?: Handler<Name>};

/** When a connection probes a silent peer and when it closes, in ms. */
export interface Liveness {
  /** The other end is probed when nothing was received for this long. */
  readonly probeAfterMs: number;
  /** The connection is closed when nothing was received for this long. */
  readonly silenceLimitMs: number;
}

/** For connections with pending work. */
export const defaultLiveness: Liveness = {
  probeAfterMs: 1000,
  silenceLimitMs: 4000,
};

/** For connections that are only kept open; costs a few bytes per minute. */
export const idleLiveness: Liveness = {
  probeAfterMs: 20_000,
  silenceLimitMs: 45_000,
};

/** Receives the bytes of a socket that emits no `data` events. The chunk is overwritten afterwards. */
export interface ByteSink {
  receive: (chunk: Buffer) => void;
}

const maxBufferedBytes = 128 * 1024 * 1024;
const maxRequestMs = 2 ** 31 - 1;
const timeoutCode = 0;
/** Marks errors of the local request timer. Errors from the wire can never contain this object. */
const localTimeout = {};

/**
 * One end of a connection between two processes of the system: JSON-RPC 2.0
 * messages in MessagePack frames. Messages are handled in the order sent. The
 * connection is closed when the other end stays silent.
 */
export class Peer implements AsyncDisposable {
  /** Resolves with the cause once the connection is closed. */
  readonly closed: Promise<string>;

  private readonly rpc: JSONRPCServerAndClient;
  private readonly notificationHandlers = new Map<
    string,
    (params: unknown) => void
  >();
  private readonly reader: FrameReader;
  private hasMessage = false;
  private watchdog: PostPollTimer | undefined;
  private watchdogDueAt: Instant = Infinity;
  private resolveClosed!: (cause: string) => void;
  private closeCause: string | undefined;
  private lastReceivedAt: Instant = monotonicClock.now();
  private totalReceivedBytes = 0;
  private isProbing = false;
  private lastId = 0;
  private outgoing: Buffer[] = [];

  constructor(
    private readonly socket: Socket,
    handlers: Handlers,
    private liveness: Liveness = defaultLiveness,
    sink?: ByteSink,
    /** Counts what incomplete messages hold; without it, they are limited by their size alone. */
    account?: BodyAccount,
  ) {
    this.reader = new FrameReader(
      account &&
        (() =>
          account.open({
            onCut: () => this.close('incomplete messages hold too much'),
            isTimed: false,
          })),
    );
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

  /** True until the connection is closed. */
  get isOpen(): boolean {
    return this.closeCause === undefined;
  }

  /** True once the other end has sent a whole message. */
  get hasReceived(): boolean {
    return this.hasMessage;
  }

  /** Bytes written to the socket that the operating system has not accepted yet. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** Bytes received so far, including those of incomplete messages. */
  get receivedBytes(): number {
    return this.totalReceivedBytes;
  }

  /** Time since data was last received or the liveness settings changed, in ms. */
  get silentMs(): number {
    return monotonicClock.now() - this.lastReceivedAt;
  }

  /** `host:port` of the other end, for logs. */
  get remoteAddress(): string {
    return `${this.socket.remoteAddress}:${this.socket.remotePort}`;
  }

  /** Replaces the liveness settings and restarts the silence period. */
  setLiveness(liveness: Liveness): void {
    if (liveness === this.liveness) return;
    this.liveness = liveness;
    this.lastReceivedAt = monotonicClock.now();
    this.armWatchdog();
  }

  /**
   * Probes the other end unless data was received recently, and closes the
   * connection if it doesn't answer. For callers that depend on a notification
   * they sent on an otherwise idle connection.
   */
  ensureAlive({probeAfterMs, silenceLimitMs}: Liveness): void {
    const probedAt = monotonicClock.now();
    if (this.isProbing || probedAt - this.lastReceivedAt < probeAfterMs) return;
    this.isProbing = true;
    const deadline = probedAt + silenceLimitMs - probeAfterMs;
    void this.request('peer.sync', {}, deadline).then(() => {
      this.isProbing = false;
      if (this.lastReceivedAt < probedAt) this.close('silent when asked');
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
    const timer = new PostPollTimer(remainingMs, () =>
      client.receive(
        createJSONRPCErrorResponse(id, timeoutCode, 'timeout', localTimeout),
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

  /** Sends a notification, which is lost if the connection ends before it arrives. */
  notify<Name extends NotificationName>(
    method: Name,
    params: ParamsOf<Name>,
  ): void {
    if (!this.isOpen) return;
    this.enqueue({jsonrpc: '2.0', method, params});
  }

  /** Closes the connection at once. Pending requests fail as disconnected. */
  close(cause: string): void {
    if (this.closeCause !== undefined) return;
    this.flush();
    this.closeCause = cause;
    this.watchdog?.[Symbol.dispose]();
    this.reader.clear();
    this.socket.destroy();
    this.rpc.rejectAllPendingRequests(`disconnected: ${cause}`);
    this.resolveClosed(cause);
  }

  /** Flushes pending messages, then closes the connection. */
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
      this.notificationHandlers.set(method, params =>
        checkParams(method, params).ifRight(checked =>
          runNotificationHandler(() => handle(checked, this)),
        ),
      );
    }
  }

  private receive(chunk: Buffer): void {
    this.lastReceivedAt = monotonicClock.now();
    this.totalReceivedBytes += chunk.length;
    this.reader.readChunk(chunk).caseOf({
      Left: cause => this.close(`protocol error: ${cause}`),
      Right: messages => {
        if (messages.length > 0) this.hasMessage = true;
        for (const message of messages) this.dispatch(message);
      },
    });
  }

  /** Handles notifications directly, without the promises that a request's response needs. */
  private dispatch(message: unknown): void {
    if (isNotification(message)) {
      this.notificationHandlers.get(message.method)?.(message.params);
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

  /** Batches the messages of one event loop iteration into one write. */
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

  /** Keeps a watchdog that is due earlier: it applies the settings in force when it fires. */
  private armWatchdog(): void {
    if (!this.isOpen) return;
    const {probeAfterMs, silenceLimitMs} = this.liveness;
    const now = monotonicClock.now();
    const silentMs = now - this.lastReceivedAt;
    const dueMs =
      silentMs < probeAfterMs
        ? probeAfterMs - silentMs
        : Math.min(probeAfterMs, silenceLimitMs - silentMs + 1);
    const dueAt = now + Math.max(1, dueMs);
    if (this.watchdogDueAt <= dueAt) return;
    this.watchdog?.[Symbol.dispose]();
    this.watchdogDueAt = dueAt;
    this.watchdog = new PostPollTimer(dueAt - now, () => this.checkLiveness());
    this.watchdog.allowExit();
  }

  private checkLiveness(): void {
    this.watchdogDueAt = Infinity;
    const {probeAfterMs, silenceLimitMs} = this.liveness;
    const now = monotonicClock.now();
    const silentMs = now - this.lastReceivedAt;
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
    if (data === localTimeout) return {kind: 'timeout'};
    return {kind: 'rejected', detail: message};
  }
}

/** Recognizes a JSON-RPC notification: a request without an id. */
function isNotification(message: unknown): message is JSONRPCRequest {
  if (typeof message !== 'object' || message === null) return false;
  return isJSONRPCRequest(message) && message.id === undefined;
}

/** Ignores errors of a notification handler, except for a broken invariant, which stops the process. */
function runNotificationHandler(handle: () => unknown): void {
  try {
    handle();
  } catch (error) {
    throwBrokenInvariant(error);
  }
}

/** Runs a request handler. A broken invariant stops the process; other errors become error responses. */
async function stopOnBrokenInvariant(handle: () => unknown): Promise<unknown> {
  try {
    return await handle();
  } catch (error) {
    throwBrokenInvariant(error);
    throw error;
  }
}

/** Rethrows a broken invariant from a fresh stack, as an uncaught exception. */
function throwBrokenInvariant(error: unknown): void {
  if (!(error instanceof BrokenInvariant)) return;
  setImmediate(() => {
    throw error;
  });
}
