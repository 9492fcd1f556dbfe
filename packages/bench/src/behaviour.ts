import type {IncomingMessage, ServerResponse} from 'node:http';
import {readJson, sendJson} from './http.js';

/** How a stand-in runs tasks; `POST /fault` changes any of the fields. */
export interface StandInBehaviour {
  /** Factor by which run times are multiplied. */
  readonly speedFactor: number;
  /** Every task fails immediately. */
  readonly failsAll: boolean;
}

/** Runs each task for the time given in its payload. */
export const defaultBehaviour: StandInBehaviour = {
  speedFactor: 1,
  failsAll: false,
};

/** Answers `POST /fault` with the changed behaviour and returns it. */
export async function serveFault(
  request: IncomingMessage,
  response: ServerResponse,
  current: StandInBehaviour,
): Promise<StandInBehaviour> {
  const change = await readJson(request);
  const next = {
    ...current,
    ...(change as Partial<StandInBehaviour> | undefined),
  };
  sendJson(response, 200, next);
  return next;
}
