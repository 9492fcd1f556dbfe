import {isTable, type TomlTable} from './document.js';
import {settingsShape} from './layout.js';
import type {Presence, Shape} from './shape.js';
import {describeValue, joinKey} from './value.js';

/** One key that a settings file or a configuration text may set. */
export interface KeyDescription {
  /** The path of the key; `NAME` stands for a name that the operator chooses. */
  readonly key: string;
  readonly expected: string;
  readonly presence: Presence<string>['kind'];
  /** The default value as TOML, if there is one. */
  readonly fallback?: string;
  /** Whether overlays may not set the key. */
  readonly baseOnly: boolean;
}

/** Describes every key of settings files and configuration texts. */
export function describeSettingsKeys(): readonly KeyDescription[] {
  return describeShape(settingsShape, '');
}

function describeShape(shape: Shape, path: string): readonly KeyDescription[] {
  switch (shape.kind) {
    case 'leaf': {
      const {expected, presence, baseOnly} = shape;
      const fallback =
        presence.kind === 'default'
          ? {fallback: describeValue(presence.value)}
          : {};
      return [
        {key: path, expected, presence: presence.kind, ...fallback, baseOnly},
      ];
    }
    case 'named':
      return describeShape(shape.each, joinKey(path, 'NAME'));
    case 'table':
      return Object.entries(shape.keys).flatMap(([key, each]) =>
        describeShape(each, joinKey(path, key)),
      );
  }
}

/** Flattens nested tables to pairs of key path and value. */
export function listTableKeys(
  table: TomlTable,
  path = '',
): ReadonlyArray<readonly [string, unknown]> {
  return Object.entries(table).flatMap(([key, value]) => {
    const inner = joinKey(path, key);
    if (value === undefined) return [];
    return isTable(value)
      ? listTableKeys(value, inner)
      : [[inner, value] as const];
  });
}
