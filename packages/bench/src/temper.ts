import type {IncomingMessage, ServerResponse} from 'node:http';
import {readJson, sendJson} from './http.js';

/** How a stand-in behaves now; its `POST /fault` changes any part of it. */
export interface Temper {
  /** Run times are multiplied by this. */
  readonly speedFactor: number;
  /** Every task fails at once. */
  readonly failsAll: boolean;
}

/** Runs each task for the time its payload asks. */
export const evenTemper: Temper = {speedFactor: 1, failsAll: false};

/** Answers `POST /fault` with the temper that holds from now on. */
export async function serveFault(
  request: IncomingMessage,
  response: ServerResponse,
  temper: Temper,
): Promise<Temper> {
  const change = await readJson(request);
  const next = {...temper, ...(change as Partial<Temper> | undefined)};
  sendJson(response, 200, next);
  return next;
}
