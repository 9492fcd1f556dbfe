import {type Document, isTable, type TomlTable} from './document.js';
import type {SettingsError} from './error.js';
import {name, namePattern} from './kind.js';
import {findNearest} from './nearest.js';
import {describeValue, joinKey} from './value.js';
import type {Leaf, Named, Shape, Shapes, Table, ValueOf} from './shape.js';

/** What a document is checked as. */
export type Part =
  | {readonly kind: 'base'}
  /** Only names that the base describes may be set. */
  | {readonly kind: 'overlay'; readonly base: TomlTable};

/** Checks what a document states, key by key. Absent keys are no fault here. */
export function checkDocument(
  document: Document,
  shape: Table<Shapes, boolean>,
  part: Part,
): readonly SettingsError[] {
  const errors: SettingsError[] = [];
  const checker = new Checker(document.origin, part, errors);
  checker.checkTable(document.table, shape.keys, '');
  return errors;
}

class Checker {
  constructor(
    private readonly origin: string,
    private readonly part: Part,
    private readonly errors: SettingsError[],
  ) {}

  checkTable(table: TomlTable, keys: Shapes, path: string): void {
    for (const [key, value] of Object.entries(table)) {
      if (Object.hasOwn(keys, key)) {
        this.checkValue(value, keys[key]!, joinKey(path, key));
      } else {
        this.refuseKey(key, value, keys, path);
      }
    }
  }

  private checkValue(value: unknown, shape: Shape, path: string): void {
    switch (shape.kind) {
      case 'leaf':
        return this.checkLeaf(value, shape, path);
      case 'table':
        if (!isTable(value)) return this.refuseValue(path, 'a table', value);
        return this.checkTable(value, shape.keys, path);
      case 'named':
        if (!isTable(value)) return this.refuseValue(path, 'a table', value);
        return this.checkNames(value, shape, path);
    }
  }

  private checkLeaf(value: unknown, leaf: Leaf<unknown>, path: string): void {
    if (leaf.baseOnly && this.part.kind === 'overlay') {
      this.refuseValue(path, 'it in the base file only', value);
      return;
    }
    if (leaf.codec.decode(value).isLeft()) {
      this.refuseValue(path, leaf.expected, value);
    }
  }

  private checkNames(
    table: TomlTable,
    shape: Named<Table<Shapes, false>>,
    path: string,
  ): void {
    const described = this.listDescribed(path);
    for (const [key, value] of Object.entries(table)) {
      if (!namePattern.test(key)) {
        this.refuseValue(path, name.expected, key);
      } else if (described !== undefined && !described.includes(key)) {
        this.refuseName(key, described, path);
      } else {
        this.checkValue(value, shape.each, joinKey(path, key));
      }
    }
  }

  private listDescribed(path: string): readonly string[] | undefined {
    if (this.part.kind === 'base') return undefined;
    const table = this.part.base[path];
    return isTable(table) ? Object.keys(table) : [];
  }

  private refuseName(
    key: string,
    described: readonly string[],
    path: string,
  ): void {
    const nearest = findNearest(key, described);
    this.errors.push({
      kind: 'unknown-key',
      origin: this.origin,
      key: joinKey(path, key),
      ...(nearest !== undefined && {nearest: joinKey(path, nearest)}),
      valid: described.map(each => joinKey(path, each)),
    });
  }

  private refuseKey(
    key: string,
    value: unknown,
    keys: Shapes,
    path: string,
  ): void {
    const nearest = findNearest(key, Object.keys(keys));
    const inner = findInnerTable(value);
    const extend = (shown: string) =>
      inner === undefined ? shown : joinKey(shown, inner);
    this.errors.push({
      kind: 'unknown-key',
      origin: this.origin,
      key: extend(joinKey(path, key)),
      ...(nearest !== undefined && {nearest: extend(joinKey(path, nearest))}),
      valid: Object.keys(keys).map(each => joinKey(path, each)),
    });
  }

  private refuseValue(key: string, expected: string, found: unknown): void {
    this.errors.push({
      kind: 'wrong-value',
      origin: this.origin,
      key,
      expected,
      found: describeValue(found),
    });
  }
}

/** Finds the first table within a value, as in the header `[outer.inner]`. */
function findInnerTable(value: unknown): string | undefined {
  if (!isTable(value)) return undefined;
  return Object.keys(value).find(key => isTable(value[key]));
}

/**
 * Fills a checked table from defaults. Missing required keys are added to `errors`
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
