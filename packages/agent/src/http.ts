import {Either} from 'purify-ts';
import {Pool} from 'undici';
import {BlockBuffer} from '#intake';

const connectTimeoutMs = 2000;
/** Shorter than the common server default, so that no request is sent on a closing connection. */
const idleTimeoutMs = 4000;

/** Opens a connection pool without pipelining, so that a lost connection affects one task. */
export function openPool(
  url: string,
  connections: number,
  responseTimeoutMs: number,
): Pool {
  return new Pool(url, {
    connections,
    pipelining: 1,
    headersTimeout: responseTimeoutMs,
    bodyTimeout: responseTimeoutMs,
    keepAliveTimeout: idleTimeoutMs,
    connect: {timeout: connectTimeoutMs},
  });
}

/** The outcome of one HTTP exchange. */
export type HttpOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: Buffer;
    }
  /** The request cannot be encoded as JSON, or the response is too large. */
  | {readonly kind: 'unusable'; readonly detail: string}
  /** Nothing was written to the target, so it cannot have seen the request. */
  | {readonly kind: 'not-sent'; readonly detail: string}
  /** The exchange failed after the request was sent: the target may have acted on it. */
  | {readonly kind: 'broken'; readonly detail: string}
  /** Aborted by `signal` after the request was sent; `ended` resolves once the exchange is over. */
  | {readonly kind: 'aborted'; readonly ended: Promise<void>};

export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly signal?: AbortSignal;
  /**
   * Closes the connection of the exchange. When it is set, an abort of `signal`
   * leaves an exchange open whose request was already sent.
   */
  readonly closeSignal?: AbortSignal;
  /** Largest response body accepted, in bytes. */
  readonly maxBytes: number;
}

/** Sends a request at most once: a second attempt by undici is aborted before it is written. */
export function sendRequest(
  pool: Pool,
  request: HttpRequest,
): Promise<HttpOutcome> {
  const body = encodeBody(request.body);
  if (body.isLeft()) {
    return Promise.resolve({kind: 'unusable', detail: body.extract()});
  }
  return dispatchOnce(pool, request, body.extract());
}

function encodeBody(body: unknown): Either<string, string | undefined> {
  return Either.encase(() => JSON.stringify(body)).mapLeft(
    error => `the request cannot be written as JSON: ${error.message}`,
  );
}

function dispatchOnce(
  pool: Pool,
  request: HttpRequest,
  body: string | undefined,
): Promise<HttpOutcome> {
  return new Promise(resolve => {
    const received = new BlockBuffer();
    let status = 0;
    let sent = false;
    let abort = (_cause: Error) => {};
    let end = () => {};
    const ended = new Promise<void>(settle => (end = settle));
    const {signal, closeSignal} = request;
    const finish = (outcome: HttpOutcome) => {
      signal?.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const onAbort = () => {
      finish(
        sent
          ? {kind: 'aborted', ended}
          : {kind: 'not-sent', detail: 'aborted before it was sent'},
      );
      if (sent && closeSignal?.aborted === false) return;
      abort(new Error('aborted'));
    };
    if (signal?.aborted === true) {
      onAbort();
      return;
    }
    signal?.addEventListener('abort', onAbort);
    closeSignal?.addEventListener('abort', () => abort(new Error('closed')));
    pool.dispatch(
      {
        method: request.method,
        path: request.path,
        body,
        headers: body === undefined ? {} : {'content-type': 'application/json'},
      },
      {
        onRequestStart: controller => {
          abort = cause => controller.abort(cause);
          if (sent || signal?.aborted === true) {
            abort(new Error('not sent again'));
            return;
          }
          sent = true;
        },
        onResponseStart: (_controller, statusCode) => {
          status = statusCode;
        },
        onResponseData: (controller, chunk) => {
          if (received.length + chunk.length <= request.maxBytes) {
            received.append(chunk);
            return;
          }
          const detail = `the answer exceeds ${request.maxBytes} bytes`;
          finish({kind: 'unusable', detail});
          controller.abort(new Error(detail));
        },
        onResponseEnd: () => {
          finish({kind: 'answered', status, body: received.take()});
          end();
        },
        onResponseError: (_controller, error) => {
          finish({kind: sent ? 'broken' : 'not-sent', detail: error.message});
          end();
        },
      },
    );
  });
}
