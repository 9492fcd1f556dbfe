import {isTable} from './document.js';

/** Joins a key to the path of its table, quoted where TOML needs it. */
export function joinKey(path: string, key: string): string {
  const quoted = /^[A-Za-z0-9_-]+$/.test(key) ? key : JSON.stringify(key);
  return path === '' ? quoted : `${path}.${quoted}`;
}

const maxShownLength = 120;

/** Shows a value found in a text, shortened. Of what is nested only the outer level is shown. */
export function describeValue(value: unknown): string {
  if (Array.isArray(value)) {
    return cutText(`[${value.map(describeInner).join(', ')}]`);
  }
  if (isTable(value)) {
    const fields = Object.keys(value).map(
      key => `${joinKey('', key)} = ${describeInner(value[key])}`,
    );
    return cutText(`{${fields.join(', ')}}`);
  }
  return cutText(describeInner(value));
}

function describeInner(value: unknown): string {
  if (value instanceof Date) return describeDate(value);
  if (Array.isArray(value)) return '[…]';
  if (isTable(value)) return '{…}';
  return typeof value === 'string' ? JSON.stringify(value) : String(value);
}

function describeDate(value: Date): string {
  return Number.isNaN(value.getTime())
    ? 'an invalid date'
    : `the date ${value.toISOString()}`;
}

function cutText(text: string): string {
  return text.length > maxShownLength
    ? `${text.slice(0, maxShownLength)}…`
    : text;
}

/** Renders a value as TOML writes it. */
export function renderValue(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(renderValue).join(', ')}]`;
  if (!isTable(value)) return JSON.stringify(value);
  const fields = Object.entries(value).map(
    ([key, field]) => `${joinKey('', key)} = ${renderValue(field)}`,
  );
  return `{${fields.join(', ')}}`;
}
