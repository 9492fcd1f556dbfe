import {type Either, Left, Right} from 'purify-ts';
import type {Address} from './id.js';

/** Parses `host:port`, or returns what is wrong with it. */
export function parseAddress(
  address: Address,
): Either<string, {readonly host: string; readonly port: number}> {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  const digits = address.slice(colon + 1);
  const port = Number(digits);
  if (colon < 1 || !/^\d{1,5}$/.test(digits) || port > 65535) {
    return Left(`address "${address}" is not host:port`);
  }
  return Right({host, port});
}
