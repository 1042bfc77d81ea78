/** The reference pages of the docs, made from schemas and error tables. */
import {DAEMON_ERRORS, SETTINGS_GROUPS} from '@irisdock/daemon';
import {DECISION_ERRORS} from '@irisdock/decisions';
import {ENDPOINT_ERRORS} from '@irisdock/endpoints';
import {GATEWAY_ERRORS, GATEWAY_SERVICES} from '@irisdock/gateway';
import {listSettings, type ErrorKind} from '@irisdock/kernel';
import {PEER_ERRORS} from '@irisdock/peer';
import {PLATFORM_ERRORS} from '@irisdock/storage';
import {RESOURCE_ERRORS} from '@irisdock/resources';
import {WEB_ERRORS} from '@irisdock/web';

const TABLES: readonly (readonly [
  string,
  Readonly<Record<string, ErrorKind>>,
])[] = [
  ['Requests in general', WEB_ERRORS.kinds],
  ['Callers and operators', DAEMON_ERRORS.kinds],
  ['Waiting and resume data', DECISION_ERRORS.kinds],
  ['Resources', RESOURCE_ERRORS.kinds],
  ['Platform', PLATFORM_ERRORS.kinds],
  ['Endpoints', ENDPOINT_ERRORS.kinds],
  ['Hosts', PEER_ERRORS.kinds],
  ['Callers of declared routes', GATEWAY_ERRORS.kinds],
];

/** Formats docs/SETTINGS.md. */
export function formatSettingsPage(): string {
  const lines = [
    '# Settings of irisdockd',
    '',
    'Made by `scripts/write_reference.mjs` from the schemas; a test holds it to',
    'them. A flag goes before its environment variable.',
    '',
    '| flag | variable | unit | default | meaning |',
    '| --- | --- | --- | --- | --- |',
  ];
  for (const info of listSettings(SETTINGS_GROUPS)) {
    const fallback = info.defaultText ?? 'required';
    const unit = info.unit.replaceAll('|', ' ');
    lines.push(
      `| \`--${info.flag}\` | \`${info.variable}\` | ${unit} | ${fallback} | ${info.description} |`,
    );
  }
  return `${lines.join('\n')}\n`;
}

/** Formats docs/GATEWAY_SETTINGS.md. */
export function formatGatewaySettingsPage(): string {
  const lines = [
    '# Settings of the gateway',
    '',
    'Made by `scripts/write_reference.mjs` from the schemas; a test holds it to',
    'them. The settings file has a table for each service and a key for each',
    'setting; a flag goes before its environment variable, and both before the',
    'file. The file is read again after SIGHUP and when it has changed: `[peers]',
    'seeds`, `[directory] keepSeconds` and the bounds on repeated sends of',
    '`[front]` are in force at once, all others at the next start; a line in the',
    'log names both. A file with faults changes nothing; all are logged.',
    '',
    '| table | key | flag | unit | default | meaning |',
    '| --- | --- | --- | --- | --- | --- |',
  ];
  const groups = GATEWAY_SERVICES.map(({key, settings}) => ({
    name: key.name,
    schema: settings,
  }));
  for (const info of listSettings(groups)) {
    const fallback = info.defaultText ?? 'required';
    const shown = fallback === '' ? 'empty' : fallback;
    lines.push(
      `| \`[${info.group}]\` | \`${info.key}\` | \`--${info.flag}\` | ${info.unit} | ${shown} | ${info.description} |`,
    );
  }
  return `${lines.join('\n')}\n`;
}

/** Formats docs/ERRORS.md. */
export function formatErrorPage(): string {
  const lines = [
    '# Errors',
    '',
    'Made by `scripts/write_reference.mjs` from the tables; a test holds it to',
    'them. An answer carries `error.kind`, `error.message`, `error.remedy` and',
    '`error.outcome`, the outcome also as `X-Irisdock-Outcome`: `not-run` means',
    'that it was not run and is safe to send again.',
  ];
  for (const [title, kinds] of TABLES) {
    lines.push('', `## ${title}`, '');
    lines.push('| kind | status | outcome | message | remedy |');
    lines.push('| --- | --- | --- | --- | --- |');
    for (const [name, kind] of Object.entries(kinds)) {
      const {status, outcome, message, remedy} = kind;
      lines.push(
        `| \`${name}\` | ${status} | ${outcome} | ${message} | ${remedy} |`,
      );
    }
  }
  return `${lines.join('\n')}\n`;
}
