/** Renders a settings template of the deploy file as the page DEPLOY describes it. */
export function renderTemplate(text, fields) {
  return render(text, [fields]);
}

const tag = /\{\{([#^/]?)([^}]*)\}\}/g;

function render(text, scopes) {
  let output = '';
  let pos = 0;
  tag.lastIndex = 0;
  for (let match; (match = tag.exec(text)) !== null; ) {
    const [whole, mark, name] = match;
    output += text.slice(pos, match.index);
    pos = match.index + whole.length;
    if (mark === '') {
      output += format(name, scopes);
      continue;
    }
    const end = findEnd(text, pos, name);
    output += renderSection(mark, name, text.slice(pos, end.start), scopes);
    pos = end.end;
    tag.lastIndex = pos;
  }
  return output + text.slice(pos);
}

function findEnd(text, from, name) {
  const closing = `{{/${name}}}`;
  const start = text.indexOf(closing, from);
  if (start < 0) throw new Error(`section ${name} has no end`);
  return {start, end: start + closing.length};
}

function renderSection(mark, name, body, scopes) {
  const value = lookup(name, scopes);
  const isMissing =
    value === undefined || value === null || value === false || value === '';
  if (mark === '^') return isMissing ? render(body, scopes) : '';
  if (isMissing) return '';
  if (!Array.isArray(value)) return render(body, [value, ...scopes]);
  return value
    .map((entry, i) => {
      const scope = {
        '.': entry,
        '@': i,
        ',': i + 1 < value.length ? ',' : '',
      };
      return render(body, [scope, ...scopes]);
    })
    .join('');
}

function format(name, scopes) {
  const [path, filter] = name.split('|');
  const value = lookup(path, scopes);
  if (filter === 'json') return JSON.stringify(value ?? null);
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function lookup(path, scopes) {
  for (const scope of scopes) {
    if (typeof scope !== 'object' || scope === null) continue;
    if (Object.hasOwn(scope, path)) return scope[path];
    const found = path.split('.').reduce((at, key) => at?.[key], scope);
    if (path !== '.' && found !== undefined) return found;
  }
  return undefined;
}
