import {type Either, Left, Right} from 'purify-ts';
import {checkDocument} from './check.js';
import {
  type Document,
  mergeTables,
  parseDocument,
  type SourceText,
} from './document.js';
import type {SettingsError} from './error.js';
import type {Shapes, Table} from './shape.js';

/** Parses, checks and merges a base and its overlay; fails with all errors of both. */
export function parseLayers(
  base: SourceText,
  overlay: SourceText | undefined,
  shape: Table<Shapes, boolean>,
): Either<readonly SettingsError[], Document> {
  return parseDocument(base).chain(document => {
    const merged = mergeOverlay(document, overlay, shape);
    return failOnErrors(
      [
        ...checkDocument(document, shape, {kind: 'base'}),
        ...collectErrors(merged),
      ],
      merged.orDefault(document),
    );
  });
}

/** Checks an overlay and merges it onto a parsed base; returns the base when there is no overlay. */
export function mergeOverlay(
  base: Document,
  overlay: SourceText | undefined,
  shape: Table<Shapes, boolean>,
): Either<readonly SettingsError[], Document> {
  if (overlay === undefined) return Right(base);
  return parseDocument(overlay).chain(({origin, table}) =>
    failOnErrors(
      checkDocument({origin, table}, shape, {
        kind: 'overlay',
        base: base.table,
      }),
      {
        origin: `${base.origin} with ${origin}`,
        table: mergeTables(base.table, table),
      },
    ),
  );
}

/** Returns the errors if there are any, and the value otherwise. */
export function failOnErrors<Value>(
  errors: readonly SettingsError[],
  value: Value,
): Either<readonly SettingsError[], Value> {
  return errors.length > 0 ? Left(errors) : Right(value);
}

/** Returns the errors of a failed outcome; none when it succeeded. */
export function collectErrors(
  outcome: Either<readonly SettingsError[], unknown>,
): readonly SettingsError[] {
  return outcome.swap().orDefault([]);
}
