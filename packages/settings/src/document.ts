import {readFileSync} from 'node:fs';
import {type Either, Left, Right} from 'purify-ts';
import {parse, TomlError} from 'smol-toml';
import type {SettingsError} from './error.js';

export type TomlTable = Readonly<Record<string, unknown>>;

/** A text and its name in error messages. */
export interface SourceText {
  readonly text: string;
  readonly origin: string;
}

/** A parsed text and its name in error messages. */
export interface Document {
  readonly origin: string;
  readonly table: TomlTable;
}

const maxFileBytes = 16 * 1024 * 1024;

/** Reads a UTF-8 text file of at most 16 MiB; a byte-order mark is dropped. */
export function readText(
  file: string,
  origin: string,
): Either<readonly SettingsError[], string> {
  try {
    const bytes = readFileSync(file);
    if (bytes.length > maxFileBytes) {
      return refuseFile(origin, `larger than ${maxFileBytes} bytes`);
    }
    return Right(new TextDecoder('utf-8', {fatal: true}).decode(bytes));
  } catch (error) {
    return refuseFile(origin, explainReadError(error));
  }
}

function refuseFile(
  origin: string,
  detail: string,
): Either<readonly SettingsError[], never> {
  return Left([{kind: 'unreadable', origin, detail}]);
}

function explainReadError(error: unknown): string {
  switch ((error as NodeJS.ErrnoException).code) {
    case 'ENOENT':
      return 'no such file';
    case 'EISDIR':
      return 'expected a file, found a folder';
    case 'EACCES':
      return 'permission denied';
    case 'ERR_ENCODING_INVALID_ENCODED_DATA':
      return 'not UTF-8 text';
    default:
      return error instanceof Error ? error.message : String(error);
  }
}

/** Parses TOML. A byte-order mark is ignored. */
export function parseDocument({
  text,
  origin,
}: SourceText): Either<readonly SettingsError[], Document> {
  try {
    const table = parse(text.replace(/^\uFEFF/, ''), {
      unsafeKeyBehaviour: 'throw',
    });
    return Right({origin, table});
  } catch (error) {
    return Left([describeSyntaxError(error, origin)]);
  }
}

function describeSyntaxError(error: unknown, origin: string): SettingsError {
  if (!(error instanceof TomlError)) {
    return {kind: 'unreadable', origin, detail: String(error)};
  }
  return {
    kind: 'syntax',
    origin,
    line: error.line,
    column: error.column,
    detail: error.message
      .split('\n')[0]!
      .replace('Invalid TOML document: ', ''),
  };
}

/** Whether a value is a table, not a scalar, an array or a date. */
export function isTable(value: unknown): value is TomlTable {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Date)
  );
}

/**
 * Merges an overlay onto a base: tables are merged key by key, anything else is replaced.
 * Neither has `__proto__` keys, which the parser refuses.
 */
export function mergeTables(base: TomlTable, overlay: TomlTable): TomlTable {
  const merged: Record<string, unknown> = {...base};
  for (const [key, value] of Object.entries(overlay)) {
    const baseValue = Object.hasOwn(base, key) ? base[key] : undefined;
    merged[key] =
      isTable(baseValue) && isTable(value)
        ? mergeTables(baseValue, value)
        : value;
  }
  return merged;
}
