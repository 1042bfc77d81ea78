/**
 * Fills the template of the settings as the users' page on deployment says:
 * values, JSON values, and blocks that stand for entries or for values.
 */

const TAG = /\{\{(?<sign>[#^/]?)(?<name>[^}|]*)(?:\|(?<form>json))?\}\}/u;

/** Fills a template from the fields of a machine. */
export function formatTemplate(text, fields) {
  return formatPart(text, [fields], '', true).out;
}

function formatPart(text, scopes, key, isLast) {
  let out = '';
  let rest = text;
  for (;;) {
    const match = TAG.exec(rest);
    if (match === null) return {out: out + rest};
    out += rest.slice(0, match.index);
    rest = rest.slice(match.index + match[0].length);
    const {sign, name, form} = match.groups;
    if (sign === '') {
      out += formatValue(name, form, scopes, key, isLast);
      continue;
    }
    const close = `{{/${name}}}`;
    const end = rest.indexOf(close);
    const inner = rest.slice(0, end);
    rest = rest.slice(end + close.length);
    out += formatBlock(inner, findValue(name, scopes), sign, scopes);
  }
}

function formatBlock(inner, value, sign, scopes) {
  const isGiven = value !== undefined && value !== false;
  if (sign === '^') return isGiven ? '' : formatPart(inner, scopes, '').out;
  if (!isGiven) return '';
  if (typeof value !== 'object') {
    return formatPart(inner, [value, ...scopes], '', true).out;
  }
  const entries = Object.entries(value);
  const parts = entries.map(([key, entry], index) => {
    const isLast = index === entries.length - 1;
    return formatPart(inner, [entry, ...scopes], key, isLast).out;
  });
  return parts.join('');
}

function formatValue(name, form, scopes, key, isLast) {
  if (name === '@') return key;
  if (name === ',') return isLast ? '' : ',';
  const value = findValue(name, scopes);
  if (value === undefined) return '';
  if (form === 'json') return JSON.stringify(value);
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function findValue(name, scopes) {
  if (name === '.') return scopes[0];
  for (const scope of scopes) {
    let value = scope;
    for (const part of name.split('.')) value = value?.[part];
    if (value !== undefined) return value;
  }
  return undefined;
}
