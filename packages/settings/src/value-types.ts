import {isIP} from 'node:net';
import {Left, Right} from 'purify-ts';
import {Codec} from 'purify-ts/Codec';
import {type Address, parseAddress} from '#model';
import type {ValueType} from './shape.js';

/** Declares a value type by a predicate on TOML values. */
function declareValueType<Value>(
  expected: string,
  isValid: (input: unknown) => boolean,
): ValueType<Value> {
  return {
    expected,
    codec: Codec.custom<Value>({
      decode: input =>
        isValid(input) ? Right(input as Value) : Left(`expected ${expected}`),
      encode: value => value,
    }),
  };
}

/** A whole number from `min` to `max`, both included. */
export function declareInteger(
  min: number,
  max: number,
  unit = '',
): ValueType<number> {
  return declareValueType(
    `a whole number${unit && ` of ${unit}`} from ${min} to ${max}`,
    input =>
      Number.isSafeInteger(input) &&
      (input as number) >= min &&
      (input as number) <= max,
  );
}

/** A number above 0, at most `max`. */
export function declarePositiveNumber(
  max: number,
  unit = '',
): ValueType<number> {
  return declareValueType(
    `a number${unit && ` of ${unit}`} above 0, at most ${max}`,
    input =>
      Number.isFinite(input) &&
      (input as number) > 0 &&
      (input as number) <= max,
  );
}

export const boolean: ValueType<boolean> = declareValueType(
  'true or false',
  input => typeof input === 'boolean',
);

/** Restricted because names appear in URLs, headers and metric tags. */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const nameExpected =
  'a name of 1 to 64 letters, digits, ".", "_" or "-" that begins with a letter or digit';

export const name: ValueType<string> = declareValueType(
  nameExpected,
  input => typeof input === 'string' && namePattern.test(input),
);

/** The TOML parser refuses this key, since every object inherits a property of that name. */
const refusedKey = 'constructor';

/** True for a text that can name a service, queue, team or region in a configuration. */
export function isTableName(text: string): boolean {
  return namePattern.test(text) && text !== refusedKey;
}

export const folderPath: ValueType<string> = declareValueType(
  'the path of a folder',
  input =>
    typeof input === 'string' && input.length > 0 && !input.includes('\0'),
);

export const metricPrefix: ValueType<string> = declareValueType(
  'a prefix of at most 64 letters, digits, ".", "_" or "-"',
  input => typeof input === 'string' && /^[A-Za-z0-9._-]{0,64}$/.test(input),
);

/** One of the texts listed. */
export function declareTextChoice<Text extends string>(
  ...texts: readonly Text[]
): ValueType<Text> {
  return declareValueType(
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

/** An address to listen on; port 0 lets the operating system choose a port. */
export const listenAddress: ValueType<Address> = declareValueType(
  'an address IP:PORT such as "127.0.0.1:7000", port 0 to 65535',
  input => isAddress(input, 0),
);

const unspecifiedHosts = ['0.0.0.0', '::'];

/** Whether an address is valid and names one host, not the unspecified address, to which others cannot connect. */
export function hasSpecificHost(address: Address): boolean {
  return parseAddress(address)
    .map(({host}) => !unspecifiedHosts.includes(host))
    .orDefault(false);
}

const dialableExpected =
  'an address IP:PORT that can be dialled, such as "10.0.0.7:7000"';

function isDialable(input: unknown): boolean {
  return isAddress(input, 1) && hasSpecificHost(input as Address);
}

/** An address to connect to. */
export const dialableAddress: ValueType<Address> = declareValueType(
  dialableExpected,
  input => isDialable(input),
);

export const dialableAddresses: ValueType<readonly Address[]> =
  declareValueType(
    `an array of at least one ${dialableExpected.replace('an ', '')}`,
    input =>
      Array.isArray(input) && input.length > 0 && input.every(isDialable),
  );

/** A host to send UDP datagrams to: an IP address or a host name. */
export const host: ValueType<string> = declareValueType(
  'an IP number or a host name',
  input =>
    typeof input === 'string' &&
    (isIP(input) !== 0 || /^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$/.test(input)),
);

export const hostName: ValueType<string> = declareValueType(
  'the name of a host as callers state it',
  input => typeof input === 'string' && /^[^\s/]{1,255}$/.test(input),
);

export const urlPath: ValueType<string> = declareValueType(
  'a path that begins with "/"',
  input => typeof input === 'string' && /^\/\S*$/.test(input),
);

export const httpUrl: ValueType<string> = declareValueType(
  'a base URL such as "http://127.0.0.1:8080"',
  input =>
    typeof input === 'string' &&
    /^https?:\/\//.test(input) &&
    URL.canParse(input),
);

interface MemberSetting {
  readonly member: string;
  readonly address: Address;
}

function isMember(input: unknown): input is MemberSetting {
  if (typeof input !== 'object' || input === null) return false;
  const {member, address, ...otherKeys} = input as Record<string, unknown>;
  return (
    typeof member === 'string' &&
    namePattern.test(member) &&
    isDialable(address) &&
    Object.keys(otherKeys).length === 0
  );
}

const maxControlMembers = 7;

/** The voters of a new control group, with distinct names and addresses. */
export const controlMembers: ValueType<readonly MemberSetting[]> =
  declareValueType(
    `1 to ${maxControlMembers} tables {member = NAME, address = "IP:PORT"}, names and addresses all different`,
    input =>
      Array.isArray(input) &&
      input.length > 0 &&
      input.length <= maxControlMembers &&
      input.every(isMember) &&
      new Set(input.map(each => each.member)).size === input.length &&
      new Set(input.map(each => each.address)).size === input.length,
  );
