/**
 * Settings by flags, environment variables and a settings file. Each service
 * declares its own as a zod object; from that come the flag, the variable, the
 * key in the file, the default, the unit and the help text. All faults are
 * reported at once.
 */
import {parseArgs} from 'node:util';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {getErrorText} from './errors.js';
import {isPlace, isRemotePlace} from './place.js';
import type {SettingsFile} from './settings_file.js';

/** A named group of settings; a service's, or the process's own. */
export interface SettingsGroup {
  readonly name: string;
  readonly schema: z.ZodObject;
}

/** One setting, as help and the docs show it. */
export interface SettingInfo {
  readonly group: string;
  readonly key: string;
  readonly flag: string;
  readonly variable: string;
  readonly unit: string;
  readonly description: string;
  /** The default as text; absent when the setting must be given. */
  readonly defaultText?: string;
}

/** Checked values by group. */
export type SettingsValues = ReadonlyMap<string, unknown>;

/** A listening or remote place as `ip:port`; IPv6 numbers in brackets. */
export const IP_PORT_SCHEMA = z
  .string()
  .refine(isPlace, 'Give an IP number and a port, as in 127.0.0.1:8080.');

/** A place to which a connection can be opened, as `ip:port`. */
export const REMOTE_PLACE_SCHEMA = z
  .string()
  .refine(isRemotePlace, 'Give the IP number and the port of another process.');

/** Lists the settings of the groups. */
export function listSettings(groups: readonly SettingsGroup[]): SettingInfo[] {
  const infos: SettingInfo[] = [];
  for (const group of groups) {
    for (const [key, schema] of Object.entries(group.schema.shape)) {
      infos.push(getInfo(group.name, key, schema as z.ZodType));
    }
  }
  return infos;
}

/**
 * Reads settings from flags, then variables, then the file, then defaults.
 *
 * @returns The values by group, or every fault as a sentence.
 */
export function parseSettings(
  groups: readonly SettingsGroup[],
  args: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
  file: SettingsFile = new Map(),
): Result<SettingsValues, string[]> {
  const infos = listSettings(groups);
  const flags = readFlags(infos, args);
  if (flags.isErr()) return err([flags.error]);
  const faults = listUnknownKeys(infos, file);
  const values = new Map<string, unknown>();
  for (const group of groups) {
    const raw: Record<string, string> = {};
    for (const info of infos) {
      if (info.group !== group.name) continue;
      const inFile = file.get(group.name)?.get(info.key);
      const text = flags.value[info.flag] ?? env[info.variable] ?? inFile;
      if (text !== undefined) raw[info.key] = text;
    }
    const parsed = group.schema.safeParse(raw);
    if (parsed.success) values.set(group.name, parsed.data);
    else faults.push(...formatFaults(infos, group.name, parsed.error));
  }
  return faults.length === 0 ? ok(values) : err(faults);
}

/** Formats the help on settings, one block a setting. */
export function formatSettingsHelp(groups: readonly SettingsGroup[]): string {
  const lines: string[] = [];
  for (const info of listSettings(groups)) {
    const fallback =
      info.defaultText === undefined
        ? 'required'
        : `default ${info.defaultText === '' ? 'empty' : info.defaultText}`;
    lines.push(`  --${info.flag} <${info.unit}>`);
    lines.push(`      ${info.description}`);
    lines.push(`      ${fallback}; environment ${info.variable}`);
  }
  return lines.join('\n');
}

function getInfo(group: string, key: string, schema: z.ZodType): SettingInfo {
  const meta = schema.meta() ?? {};
  const words = key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
  const flag = `${group}-${words}`;
  const fallback = schema.safeParse(undefined);
  return {
    group,
    key,
    flag,
    variable: `IRISDOCK_${flag.toUpperCase().replaceAll('-', '_')}`,
    unit: typeof meta['unit'] === 'string' ? meta['unit'] : 'text',
    description: meta.description ?? '',
    ...(fallback.success ? {defaultText: String(fallback.data)} : {}),
  };
}

/** Names what stands in the file and is no setting. */
function listUnknownKeys(
  infos: readonly SettingInfo[],
  file: SettingsFile,
): string[] {
  const faults: string[] = [];
  for (const [group, keys] of file) {
    for (const key of keys.keys()) {
      if (infos.some((i) => i.group === group && i.key === key)) continue;
      faults.push(
        `There is no setting ${key} in [${group}] of the settings file. ` +
          'Use --help for the settings.',
      );
    }
  }
  return faults;
}

function readFlags(
  infos: readonly SettingInfo[],
  args: readonly string[],
): Result<Readonly<Record<string, string | undefined>>, string> {
  const options = Object.fromEntries(
    infos.map((info) => [info.flag, {type: 'string' as const}]),
  );
  try {
    const {values} = parseArgs({args: [...args], options, strict: true});
    return ok(values);
  } catch (thrown) {
    return err(`${getErrorText(thrown)} Use --help for the flags.`);
  }
}

function formatFaults(
  infos: readonly SettingInfo[],
  group: string,
  error: z.ZodError,
): string[] {
  return error.issues.map((issue) => {
    const key = String(issue.path[0] ?? '');
    const info = infos.find((i) => i.group === group && i.key === key);
    if (info === undefined) return issue.message;
    const names = `[${group}] ${key}, --${info.flag} or ${info.variable}`;
    return `${names}, in ${info.unit}: ${issue.message}`;
  });
}
