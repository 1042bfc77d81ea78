/** The help texts. */
import type {AnyCommand, OptionInfo} from './command.js';
import {EXIT_CODES, EXIT_MEANINGS} from './exit_codes.js';

/** Options that every command takes. */
export const COMMON_OPTIONS: readonly OptionInfo[] = [
  {
    flag: 'server',
    short: 's',
    description:
      'Operator addresses, comma between (IRISDOCK_SERVER; 127.0.0.1:8090).',
  },
  {flag: 'output', short: 'o', description: 'table or json; table by default.'},
  {
    flag: 'actor',
    description: 'Who asks, for the audit trail (IRISDOCK_ACTOR, USER).',
  },
  {flag: 'help', short: 'h', isSwitch: true, description: 'Shows this help.'},
];

/** Formats the help on all commands. */
export function formatHelp(commands: readonly AnyCommand[]): string {
  const names = commands.map(
    (command) => `  ${command.name.padEnd(8)} ${command.description}`,
  );
  const codes = Object.entries(EXIT_CODES).map(
    ([name, code]) =>
      `  ${code}  ${EXIT_MEANINGS[name as keyof typeof EXIT_CODES]}`,
  );
  return [
    'irisdock <command> [words] [options]',
    '',
    'Commands:',
    ...names,
    '',
    'Options of every command:',
    ...COMMON_OPTIONS.map(formatOption),
    '',
    'Exit codes:',
    ...codes,
  ].join('\n');
}

/** Formats the help on one command. */
export function formatCommandHelp(command: AnyCommand): string {
  return [
    `irisdock ${command.name} ${command.usage}`.trimEnd(),
    '',
    command.description,
    '',
    'Options:',
    ...[...command.options, ...COMMON_OPTIONS].map(formatOption),
  ].join('\n');
}

function formatOption(option: OptionInfo): string {
  const short = option.short === undefined ? '' : `-${option.short}, `;
  const value = option.isSwitch === true ? '' : ' <value>';
  return `  ${`${short}--${option.flag}${value}`.padEnd(24)} ${option.description}`;
}
