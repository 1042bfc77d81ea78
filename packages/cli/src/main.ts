/** The program `irisdock`: reads the command line and runs one command. */
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {parseArgs, type ParseArgsConfig} from 'node:util';
import {getErrorText, type KnownError} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {ApiClient} from './api_client.js';
import type {AnyCommand, CommandContext, RawArguments} from './command.js';
import {COMMANDS} from './command_table.js';
import {CLI_ERRORS, USAGE_KINDS} from './errors.js';
import {EXIT_CODES, type ExitCode} from './exit_codes.js';
import {COMMON_OPTIONS, formatCommandHelp, formatHelp} from './help.js';
import {FORMATS, StandardOutput} from './output.js';

type Environment = Readonly<Record<string, string | undefined>>;

const DEFAULT_SERVER = '127.0.0.1:8090';
const COMMON_SCHEMA = z.object({
  server: z.string().optional(),
  output: z
    .enum(FORMATS, `--output takes ${FORMATS.join(' or ')}`)
    .default('table'),
  actor: z.string().optional(),
});

/** Runs the command line; gives the exit code. */
export async function runCommandLine(
  args: readonly string[],
  env: Environment,
): Promise<ExitCode> {
  const [name, ...rest] = args;
  if (name === undefined || name === '--help' || name === '-h') {
    process.stdout.write(`${formatHelp(COMMANDS)}\n`);
    return name === undefined ? EXIT_CODES.usage : EXIT_CODES.done;
  }
  const command = COMMANDS.find((c) => c.name === name);
  if (command === undefined) {
    return reportUsage(`There is no command ${name}.`, '');
  }
  const raw = readArguments(command, rest);
  if (raw.isErr()) return reportUsage(raw.error, name);
  if (raw.value.options['help'] === true) {
    process.stdout.write(`${formatCommandHelp(command)}\n`);
    return EXIT_CODES.done;
  }
  return runCommand(command, raw.value, env);
}

async function runCommand(
  command: AnyCommand,
  raw: RawArguments,
  env: Environment,
): Promise<ExitCode> {
  const common = COMMON_SCHEMA.safeParse(raw.options);
  const own = command.schema.safeParse(raw);
  if (!common.success) return reportIssues(common.error, command.name);
  if (!own.success) return reportIssues(own.error, command.name);
  const {server, output, actor} = common.data;
  const servers = (server ?? env['IRISDOCK_SERVER'] ?? DEFAULT_SERVER)
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');
  const who = actor ?? env['IRISDOCK_ACTOR'] ?? env['USER'] ?? 'unknown';
  const context: CommandContext = {
    client: new ApiClient(servers, who),
    output: new StandardOutput(output),
    readFile: readWhole,
  };
  const done = await command.run(context, own.data);
  return done.isOk() ? EXIT_CODES.done : report(done.error);
}

function readArguments(
  command: AnyCommand,
  args: readonly string[],
): Result<RawArguments, string> {
  const options: ParseArgsConfig['options'] = {};
  for (const option of [...command.options, ...COMMON_OPTIONS]) {
    options[option.flag] = {
      type: option.isSwitch === true ? 'boolean' : 'string',
      multiple: option.flag === 'file',
      ...(option.short === undefined ? {} : {short: option.short}),
    };
  }
  try {
    const config = {args: [...args], options, allowPositionals: true};
    const {values, positionals} = parseArgs({...config, strict: true});
    return ok({words: positionals, options: values});
  } catch (thrown) {
    return err(getErrorText(thrown));
  }
}

async function readWhole(name: string): Promise<Result<string, KnownError>> {
  try {
    const whole =
      name === '-' ? await text(process.stdin) : await readFile(name, 'utf8');
    return ok(whole);
  } catch (thrown) {
    const detail = getErrorText(thrown);
    return err(CLI_ERRORS.create('unreadable_file', {file: name, detail}));
  }
}

function reportIssues(error: z.ZodError, command: string): ExitCode {
  const detail = error.issues.map((issue) => issue.message).join('; ');
  return reportUsage(detail, command);
}

function reportUsage(detail: string, command: string): ExitCode {
  return report(CLI_ERRORS.create('usage', {detail, command}));
}

/** Prints an error and gives the exit code that stands for it. */
function report(error: KnownError): ExitCode {
  process.stderr.write(`${error.message}\n${error.remedy}\n`);
  if (error.kind === 'unreachable') return EXIT_CODES.unreachable;
  if (error.kind === 'version_conflict') return EXIT_CODES.conflict;
  if (error.outcome === 'unknown') return EXIT_CODES.unknown;
  return USAGE_KINDS.has(error.kind) ? EXIT_CODES.usage : EXIT_CODES.refused;
}
