import {setTimeout as sleep} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts';
import {request} from 'undici';
import {computeRemainingMs, type Instant, monotonicClock} from '#model';
import type {RemoteFailure} from './control-client.js';

/** A request to an entry's HTTP interface. All of them may be repeated. */
export interface EntryRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** An entry's answer: the HTTP status and the JSON object of the body. */
export interface EntryAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

const pauseMs = 200;
/** Errors that prove that nothing was sent, and that a later attempt may succeed. */
const dialErrors = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];
/** What no attempt can send, such as a header that HTTP does not allow. */
const unsendable = 'UND_ERR_INVALID_ARG';

/** Asks entries in turn until one answers or the deadline passes. */
export async function requestEntry(
  entries: readonly string[],
  query: EntryRequest,
  deadline: Instant,
): Promise<Either<RemoteFailure, EntryAnswer>> {
  let failure: RemoteFailure = {kind: 'unreachable', detail: 'no time left'};
  let wasSent = false;
  for (let turn = 0; ; turn++) {
    const remainingMs = computeRemainingMs(monotonicClock.now(), deadline);
    if (remainingMs < 1) {
      return Left(wasSent ? {...failure, kind: 'unanswered'} : failure);
    }
    const url = entries[turn % entries.length]!;
    const answer = await sendQuery(url, query, remainingMs);
    if (answer.isRight()) return answer;
    failure = answer.swap().unsafeCoerce();
    if (failure.kind === 'refused') return Left(failure);
    wasSent ||= failure.kind === 'unanswered';
    await sleep(pauseMs);
  }
}

async function sendQuery(
  url: string,
  query: EntryRequest,
  remainingMs: number,
): Promise<Either<RemoteFailure, EntryAnswer>> {
  try {
    const {statusCode, body} = await request(new URL(query.path, url), {
      method: query.method,
      headers: {...query.headers, 'content-type': 'application/json'},
      ...(query.body !== undefined && {body: query.body}),
      signal: AbortSignal.timeout(Math.ceil(remainingMs)),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const text = await body.text();
    return Right({status: statusCode, body: parseObject(text)});
  } catch (error) {
    const {code = '', message} = error as NodeJS.ErrnoException;
    return Left({kind: judgeError(code), detail: `${url}: ${message}`});
  }
}

function judgeError(code: string): RemoteFailure['kind'] {
  if (code === unsendable) return 'refused';
  return dialErrors.includes(code) ? 'unreachable' : 'unanswered';
}

/** Reads a body that should be a JSON object; another is kept as its text. */
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
