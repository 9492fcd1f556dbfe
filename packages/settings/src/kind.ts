import {isIP} from 'node:net';
import {Left, Right} from 'purify-ts';
import {Codec} from 'purify-ts/Codec';
import {type Address, parseAddress} from '#model';
import type {Kind} from './shape.js';

/** Makes a kind from a predicate on values of TOML. */
function declareKind<Value>(
  expected: string,
  isValid: (input: unknown) => boolean,
): Kind<Value> {
  return {
    expected,
    codec: Codec.custom<Value>({
      decode: input =>
        isValid(input) ? Right(input as Value) : Left(`expected ${expected}`),
      encode: value => value,
    }),
  };
}

/** A whole number within bounds, both included. */
export function boundCount(min: number, max: number, unit = ''): Kind<number> {
  return declareKind(
    `a whole number${unit && ` of ${unit}`} from ${min} to ${max}`,
    input =>
      Number.isSafeInteger(input) &&
      (input as number) >= min &&
      (input as number) <= max,
  );
}

/** A number above 0, at most `max`. */
export function boundPositive(max: number, unit = ''): Kind<number> {
  return declareKind(
    `a number${unit && ` of ${unit}`} above 0, at most ${max}`,
    input =>
      Number.isFinite(input) &&
      (input as number) > 0 &&
      (input as number) <= max,
  );
}

export const boolean: Kind<boolean> = declareKind(
  'true or false',
  input => typeof input === 'boolean',
);

/** Names appear in URLs, headers and metric tags. */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const nameExpected =
  'a name of 1 to 64 letters, digits, ".", "_" or "-" that begins with a letter or digit';

export const name: Kind<string> = declareKind(
  nameExpected,
  input => typeof input === 'string' && namePattern.test(input),
);

export const path: Kind<string> = declareKind(
  'the path of a folder',
  input =>
    typeof input === 'string' && input.length > 0 && !input.includes('\0'),
);

export const metricPrefix: Kind<string> = declareKind(
  'a prefix of at most 64 letters, digits, ".", "_" or "-"',
  input => typeof input === 'string' && /^[A-Za-z0-9._-]{0,64}$/.test(input),
);

/** One of the texts listed. */
export function chooseText<Text extends string>(
  ...texts: readonly Text[]
): Kind<Text> {
  return declareKind(
    `one of ${texts.map(text => `"${text}"`).join(', ')}`,
    input => (texts as readonly unknown[]).includes(input),
  );
}

function isAddress(input: unknown, minPort: number): boolean {
  if (typeof input !== 'string') return false;
  return parseAddress(input)
    .map(({host, port}) => isIP(host) !== 0 && port >= minPort)
    .orDefault(false);
}

/** Where a process listens; port 0 lets the system choose. */
export const listenAddress: Kind<Address> = declareKind(
  'an address IP:PORT such as "127.0.0.1:7000", port 0 to 65535',
  input => isAddress(input, 0),
);

const unspecifiedHosts = ['0.0.0.0', '::'];

/** True for an address at which others can reach this process, and not only any of its own. */
export function isReachable(address: Address): boolean {
  return parseAddress(address)
    .map(({host}) => !unspecifiedHosts.includes(host))
    .orDefault(false);
}

const dialExpected =
  'an address IP:PORT that can be dialled, such as "10.0.0.7:7000"';

function isDialable(input: unknown): boolean {
  return isAddress(input, 1) && isReachable(input as Address);
}

/** Where another process is met. */
export const dialAddress: Kind<Address> = declareKind(dialExpected, input =>
  isDialable(input),
);

export const dialAddresses: Kind<readonly Address[]> = declareKind(
  `an array of at least one ${dialExpected.replace('an ', '')}`,
  input => Array.isArray(input) && input.length > 0 && input.every(isDialable),
);

/** A host that is reached over UDP: an IP number or a name. */
export const host: Kind<string> = declareKind(
  'an IP number or a host name',
  input =>
    typeof input === 'string' &&
    (isIP(input) !== 0 || /^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$/.test(input)),
);

export const hostName: Kind<string> = declareKind(
  'the name of a host as callers state it',
  input => typeof input === 'string' && /^[^\s/]{1,255}$/.test(input),
);

export const urlPath: Kind<string> = declareKind(
  'a path that begins with "/"',
  input => typeof input === 'string' && /^\/\S*$/.test(input),
);

export const httpUrl: Kind<string> = declareKind(
  'a base URL such as "http://127.0.0.1:8080"',
  input =>
    typeof input === 'string' &&
    /^https?:\/\//.test(input) &&
    URL.canParse(input),
);

interface MemberText {
  readonly member: string;
  readonly address: Address;
}

function isMember(input: unknown): input is MemberText {
  if (typeof input !== 'object' || input === null) return false;
  const {member, address, ...others} = input as Record<string, unknown>;
  return (
    typeof member === 'string' &&
    namePattern.test(member) &&
    isDialable(address) &&
    Object.keys(others).length === 0
  );
}

const maxControlMembers = 7;

/** The voters of a new control group, each with its own name and address. */
export const controlMembers: Kind<readonly MemberText[]> = declareKind(
  `1 to ${maxControlMembers} tables {member = NAME, address = "IP:PORT"}, names and addresses all different`,
  input =>
    Array.isArray(input) &&
    input.length > 0 &&
    input.length <= maxControlMembers &&
    input.every(isMember) &&
    new Set(input.map(each => each.member)).size === input.length &&
    new Set(input.map(each => each.address)).size === input.length,
);
