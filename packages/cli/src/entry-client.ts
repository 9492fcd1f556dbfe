import {setTimeout as sleep} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts';
import {request} from 'undici';
import {computeRemainingMs, type Instant, monotonicClock} from '#model';
import type {RemoteFailure} from './control-client.js';

/** A request to the HTTP API of an entry; it must be safe to repeat. */
export interface EntryRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** The HTTP status and the JSON object in the body of a response. */
export interface EntryResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

const retryDelayMs = 200;
/** Errors that mean that nothing was sent and a retry may succeed. */
const connectErrorCodes = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];
/** The request itself is invalid, such as a header that HTTP does not allow; a retry cannot succeed. */
const invalidRequestCode = 'UND_ERR_INVALID_ARG';

/** Sends a request to the entries in turn until one responds or the deadline passes. */
export async function requestEntry(
  entries: readonly string[],
  entryRequest: EntryRequest,
  deadline: Instant,
): Promise<Either<RemoteFailure, EntryResponse>> {
  let failure: RemoteFailure = {kind: 'unreachable', detail: 'no time left'};
  let wasSent = false;
  for (let attempt = 0; ; attempt++) {
    const remainingMs = computeRemainingMs(monotonicClock.now(), deadline);
    if (remainingMs < 1) {
      return Left(wasSent ? {...failure, kind: 'unanswered'} : failure);
    }
    const url = entries[attempt % entries.length]!;
    const response = await sendRequest(url, entryRequest, remainingMs);
    if (response.isRight()) return response;
    failure = response.swap().unsafeCoerce();
    if (failure.kind === 'refused') return Left(failure);
    wasSent ||= failure.kind === 'unanswered';
    await sleep(retryDelayMs);
  }
}

async function sendRequest(
  url: string,
  entryRequest: EntryRequest,
  remainingMs: number,
): Promise<Either<RemoteFailure, EntryResponse>> {
  try {
    const {statusCode, body} = await request(new URL(entryRequest.path, url), {
      method: entryRequest.method,
      headers: {...entryRequest.headers, 'content-type': 'application/json'},
      ...(entryRequest.body !== undefined && {body: entryRequest.body}),
      signal: AbortSignal.timeout(Math.ceil(remainingMs)),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const text = await body.text();
    return Right({status: statusCode, body: parseObject(text)});
  } catch (error) {
    const {code = '', message} = error as NodeJS.ErrnoException;
    return Left({kind: toFailureKind(code), detail: `${url}: ${message}`});
  }
}

function toFailureKind(code: string): RemoteFailure['kind'] {
  if (code === invalidRequestCode) return 'refused';
  return connectErrorCodes.includes(code) ? 'unreachable' : 'unanswered';
}

/** Parses a JSON object; any other body becomes an object with its text and status `malformed`. */
function parseObject(text: string): Readonly<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return value as Readonly<Record<string, unknown>>;
    }
  } catch {
    return {status: 'malformed', text};
  }
  return {status: 'malformed', text};
}
