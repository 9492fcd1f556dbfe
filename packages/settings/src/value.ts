import {isTable} from './document.js';

/** Appends a key to the path of its table, quoted where TOML requires it. */
export function joinKey(path: string, key: string): string {
  const quoted = /^[A-Za-z0-9_-]+$/.test(key) ? key : JSON.stringify(key);
  return path === '' ? quoted : `${path}.${quoted}`;
}

const maxDescriptionLength = 120;

/** Formats a value for an error message, truncated; tables and arrays inside of it are elided. */
export function describeValue(value: unknown): string {
  if (Array.isArray(value)) {
    return truncateText(`[${value.map(describeNestedValue).join(', ')}]`);
  }
  if (isTable(value)) {
    const fields = Object.keys(value).map(
      key => `${joinKey('', key)} = ${describeNestedValue(value[key])}`,
    );
    return truncateText(`{${fields.join(', ')}}`);
  }
  return truncateText(describeNestedValue(value));
}

function describeNestedValue(value: unknown): string {
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

function truncateText(text: string): string {
  return text.length > maxDescriptionLength
    ? `${text.slice(0, maxDescriptionLength)}…`
    : text;
}

/** Formats a value as inline TOML. */
export function renderValue(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(renderValue).join(', ')}]`;
  if (!isTable(value)) return JSON.stringify(value);
  const fields = Object.entries(value).map(
    ([key, field]) => `${joinKey('', key)} = ${renderValue(field)}`,
  );
  return `{${fields.join(', ')}}`;
}
