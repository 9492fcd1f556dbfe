import type {ConfigurationSource} from '#model';
import {parseDocument, type TomlTable} from './document.js';
import {listTableKeys} from './keys.js';
import {renderValue} from './value.js';

/** A key that an overlay sets to the same value as the base: valid, but redundant. */
export interface RepeatedKey {
  readonly site: string;
  readonly key: string;
  readonly value: string;
}

/** Finds the keys of overlays that repeat the base. Texts that are not valid TOML count as empty. */
export function findRepeatedKeys(
  source: ConfigurationSource,
): readonly RepeatedKey[] {
  const base = new Map(listTableKeys(parseTable(source.base)));
  return Object.entries(source.overlays).flatMap(([site, text]) =>
    listTableKeys(parseTable(text))
      .map(([key, value]) => ({site, key, value: renderValue(value)}))
      .filter(
        ({key, value}) => base.has(key) && renderValue(base.get(key)) === value,
      ),
  );
}

function parseTable(text: string): TomlTable {
  const {table} = parseDocument({text, origin: ''}).orDefault({
    origin: '',
    table: {},
  });
  return table;
}
