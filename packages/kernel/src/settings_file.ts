/**
 * The settings file: TOML with a table for each group of settings and a key
 * for each setting. Values are handed on as texts, as flags are, and checked
 * by the same schemas.
 */
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import {getErrorText} from './errors.js';

/** Texts of settings by group and key. */
export type SettingsFile = ReadonlyMap<string, ReadonlyMap<string, string>>;

/** Reads a settings file; the fault names the file and what is wrong. */
export function readSettingsFile(path: string): Result<SettingsFile, string> {
  try {
    return parseSettingsFile(readFileSync(path, 'utf8'));
  } catch (thrown) {
    return err(
      `The settings file ${path} could not be read: ${getErrorText(thrown)}. ` +
        'Check the path and its permissions.',
    );
  }
}

/** Parses the text of a settings file. */
export function parseSettingsFile(text: string): Result<SettingsFile, string> {
  let tables: Record<string, unknown>;
  try {
    tables = parse(text);
  } catch (thrown) {
    return err(
      `The settings file is not valid TOML: ${getErrorText(thrown)}. ` +
        'Correct the line that is named.',
    );
  }
  const groups = new Map<string, Map<string, string>>();
  for (const [group, table] of Object.entries(tables)) {
    if (typeof table !== 'object' || table === null || Array.isArray(table)) {
      return err(
        `${group} in the settings file stands in no table. ` +
          'Put each setting below the [group] that it belongs to.',
      );
    }
    const keys = new Map<string, string>();
    for (const [key, value] of Object.entries(table)) {
      keys.set(key, formatValue(value));
    }
    groups.set(group, keys);
  }
  return ok(groups);
}

function formatValue(value: unknown): string {
  if (Array.isArray(value)) return value.map(formatValue).join(',');
  return typeof value === 'string' ? value : JSON.stringify(value);
}
