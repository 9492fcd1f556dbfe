import {type Document, isTable, type TomlTable} from './document.js';
import type {SettingsError} from './error.js';
import {name, namePattern} from './value-types.js';
import {findNearest} from './nearest.js';
import {describeValue, joinKey} from './value.js';
import type {
  Leaf,
  NamedTables,
  Shape,
  Shapes,
  Table,
  ValueOf,
} from './shape.js';

/** Which layer of the settings a document is. */
export type DocumentLayer =
  | {readonly kind: 'base'}
  /** Its named tables may hold only names that the base defines. */
  | {readonly kind: 'overlay'; readonly base: TomlTable};

/** Checks each key that a document sets. Absent keys are not reported. */
export function checkDocument(
  document: Document,
  shape: Table<Shapes, boolean>,
  layer: DocumentLayer,
): readonly SettingsError[] {
  const errors: SettingsError[] = [];
  const checker = new DocumentChecker(document.origin, layer, errors);
  checker.checkTable(document.table, shape.keys, '');
  return errors;
}

class DocumentChecker {
  constructor(
    private readonly origin: string,
    private readonly layer: DocumentLayer,
    private readonly errors: SettingsError[],
  ) {}

  checkTable(table: TomlTable, keys: Shapes, path: string): void {
    for (const [key, value] of Object.entries(table)) {
      if (Object.hasOwn(keys, key)) {
        this.checkValue(value, keys[key]!, joinKey(path, key));
      } else {
        this.reportUnknownKey(key, value, keys, path);
      }
    }
  }

  private checkValue(value: unknown, shape: Shape, path: string): void {
    switch (shape.kind) {
      case 'leaf':
        return this.checkLeaf(value, shape, path);
      case 'table':
        if (!isTable(value))
          return this.reportWrongValue(path, 'a table', value);
        return this.checkTable(value, shape.keys, path);
      case 'named':
        if (!isTable(value))
          return this.reportWrongValue(path, 'a table', value);
        return this.checkNamedTables(value, shape, path);
    }
  }

  private checkLeaf(value: unknown, leaf: Leaf<unknown>, path: string): void {
    if (leaf.baseOnly && this.layer.kind === 'overlay') {
      this.reportWrongValue(path, 'it in the base file only', value);
      return;
    }
    if (leaf.codec.decode(value).isLeft()) {
      this.reportWrongValue(path, leaf.expected, value);
    }
  }

  private checkNamedTables(
    table: TomlTable,
    shape: NamedTables<Table<Shapes, false>>,
    path: string,
  ): void {
    const baseNames = this.listBaseNames(path);
    for (const [key, value] of Object.entries(table)) {
      if (!namePattern.test(key)) {
        this.reportWrongValue(path, name.expected, key);
      } else if (baseNames !== undefined && !baseNames.includes(key)) {
        this.reportUnknownName(key, baseNames, path);
      } else {
        this.checkValue(value, shape.each, joinKey(path, key));
      }
    }
  }

  private listBaseNames(path: string): readonly string[] | undefined {
    if (this.layer.kind === 'base') return undefined;
    const table = this.layer.base[path];
    return isTable(table) ? Object.keys(table) : [];
  }

  private reportUnknownName(
    key: string,
    baseNames: readonly string[],
    path: string,
  ): void {
    const nearest = findNearest(key, baseNames);
    this.errors.push({
      kind: 'unknown-key',
      origin: this.origin,
      key: joinKey(path, key),
      ...(nearest !== undefined && {nearest: joinKey(path, nearest)}),
      valid: baseNames.map(each => joinKey(path, each)),
    });
  }

  private reportUnknownKey(
    key: string,
    value: unknown,
    keys: Shapes,
    path: string,
  ): void {
    const nearest = findNearest(key, Object.keys(keys));
    const innerTable = findInnerTable(value);
    const appendInnerTable = (keyPath: string) =>
      innerTable === undefined ? keyPath : joinKey(keyPath, innerTable);
    this.errors.push({
      kind: 'unknown-key',
      origin: this.origin,
      key: appendInnerTable(joinKey(path, key)),
      ...(nearest !== undefined && {
        nearest: appendInnerTable(joinKey(path, nearest)),
      }),
      valid: Object.keys(keys).map(each => joinKey(path, each)),
    });
  }

  private reportWrongValue(
    key: string,
    expected: string,
    found: unknown,
  ): void {
    this.errors.push({
      kind: 'wrong-value',
      origin: this.origin,
      key,
      expected,
      found: describeValue(found),
    });
  }
}

/** Finds the key of the first table within a value, such as `inner` for the header `[outer.inner]`. */
function findInnerTable(value: unknown): string | undefined {
  if (!isTable(value)) return undefined;
  return Object.keys(value).find(key => isTable(value[key]));
}

/**
 * Completes a checked table with defaults. Missing required keys are added to `errors`
 * under `origin`; the value may then be used only to find further errors.
 */
export function completeTable<Keys extends Shapes>(
  table: TomlTable,
  shape: Table<Keys, boolean>,
  path: string,
  origin: string,
  errors: SettingsError[],
): ValueOf<Table<Keys, false>> {
  const fields = Object.entries(shape.keys).map(([key, each]) => [
    key,
    completeValue(table[key], each, joinKey(path, key), origin, errors),
  ]);
  return Object.fromEntries(fields);
}

function completeValue(
  value: unknown,
  shape: Shape,
  path: string,
  origin: string,
  errors: SettingsError[],
): unknown {
  switch (shape.kind) {
    case 'leaf':
      if (value !== undefined) return value;
      if (shape.presence.kind === 'default') return shape.presence.value;
      if (shape.presence.kind === 'required') {
        const {expected} = shape;
        errors.push({kind: 'missing-key', origin, key: path, expected});
      }
      return undefined;
    case 'table':
      if (value === undefined && shape.optional) return undefined;
      return completeTable(toTable(value), shape, path, origin, errors);
    case 'named':
      return Object.entries(toTable(value)).map(([name, each]) => ({
        name,
        value: completeTable(
          toTable(each),
          shape.each,
          joinKey(path, name),
          origin,
          errors,
        ),
      }));
  }
}

function toTable(value: unknown): TomlTable {
  return isTable(value) ? value : {};
}
