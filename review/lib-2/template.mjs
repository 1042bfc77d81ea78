/** Fills the settings template of a role as the platform does. */

function find(path, scopes) {
  if (path === '.') return scopes[0].entry;
  if (path === '@') return scopes[0].key;
  for (const {entry} of scopes) {
    let value = entry;
    for (const name of path.split('.')) value = value?.[name];
    if (value !== undefined) return value;
  }
  return undefined;
}

function format(value, form) {
  if (value === undefined) return '';
  if (form === 'json') return JSON.stringify(value);
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function listScopes(value) {
  if (value === undefined || value === false) return [];
  if (typeof value !== 'object') return [{entry: value}];
  return Object.entries(value).map(([key, entry]) => ({key, entry}));
}

/** Fills the gaps of a template from fields. */
export function fillTemplate(text, fields, scopes = [{entry: fields}]) {
  const section = /\{\{([#^])([^{}|]+)\}\}([\s\S]*?)\{\{\/\2\}\}/u;
  let rest = text;
  for (;;) {
    const match = section.exec(rest);
    if (match === null) break;
    const [whole, sign, path, body] = match;
    const entries = listScopes(find(path, scopes));
    const filled =
      sign === '^'
        ? entries.length === 0
          ? fillTemplate(body, fields, scopes)
          : ''
        : entries
            .map((scope) => fillTemplate(body, fields, [scope, ...scopes]))
            .join('');
    rest = rest.replace(whole, () => filled);
  }
  return rest.replace(/\{\{([^{}|]+)(?:\|(json))?\}\}/gu, (_, path, form) =>
    format(find(path, scopes), form),
  );
}
