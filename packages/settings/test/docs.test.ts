import {readFileSync} from 'node:fs';
import test from 'ava';
import {describeSettingsKeys} from '#settings';

/** Reads the tables of docs/SETTINGS.md: the default cell by key path. */
function readDocumentedKeys(): ReadonlyMap<string, string> {
  const documented = new Map<string, string>();
  let table = '';
  for (const line of readFileSync('docs/SETTINGS.md', 'utf8').split('\n')) {
    table = /^(?:### |`)\[([\w.]+)\]/.exec(line)?.[1] ?? table;
    table = /two tables .*`\[([\w.]+)\]`/.exec(line)?.[1] ?? table;
    const row = /^\| `([\w.]+)` \| (.*?) ?\| /.exec(line);
    if (row !== null) documented.set(`${table}.${row[1]}`, row[2]!);
  }
  return documented;
}

test('every key is documented with its default', t => {
  const documented = readDocumentedKeys();
  for (const {key, presence, fallback} of describeSettingsKeys()) {
    const cell = documented.get(key);
    t.not(cell, undefined, `${key} is not documented`);
    if (fallback !== undefined) t.is(cell, `\`${fallback}\``, key);
    if (presence === 'required') t.is(cell, 'required', key);
  }
});
