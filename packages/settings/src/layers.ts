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

/** Parses, checks and merges a base and its overlay; fails with every error of both. */
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

/** Checks an overlay and merges it onto a parsed base; without one the base is whole. */
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

/** Fails when there are errors. */
export function failOnErrors<Value>(
  errors: readonly SettingsError[],
  value: Value,
): Either<readonly SettingsError[], Value> {
  return errors.length > 0 ? Left(errors) : Right(value);
}

/** Lists what an outcome failed with; nothing when it succeeded. */
export function collectErrors(
  outcome: Either<readonly SettingsError[], unknown>,
): readonly SettingsError[] {
  return outcome.swap().orDefault([]);
}
