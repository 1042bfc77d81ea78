/** Reads the options of a program; a bad one gets a sentence, not a trace. */
import {parseArgs, type ParseArgsConfig} from 'node:util';
import {err, ok, type Result} from 'neverthrow';
import {getErrorText} from './errors.js';

/** What a program was called with. */
export type ProgramOptions<T extends ParseArgsConfig> = ReturnType<
  typeof parseArgs<T>
>;

/**
 * Reads options.
 *
 * @param usage What is told of the options beside a fault.
 * @returns The options, or what to print.
 */
export function parseProgramOptions<T extends ParseArgsConfig>(
  config: T,
  usage: string,
): Result<ProgramOptions<T>, string> {
  try {
    return ok(parseArgs(config));
  } catch (thrown) {
    return err(`${getErrorText(thrown)}\n${usage}`);
  }
}

/** The exit code of a program that was called wrongly. */
const EXIT_USAGE = 2;

/**
 * Runs a program by its options: `--help` prints the usage, a fault prints itself
 * and the usage.
 *
 * @param run Gives the exit code, or what is wrong with the options.
 * @returns The exit code.
 */
export async function runProgram<T extends ParseArgsConfig>(
  config: T,
  usage: string,
  run: (options: ProgramOptions<T>) => Promise<Result<number, string>>,
): Promise<number> {
  const parsed = parseProgramOptions(config, usage);
  if (parsed.isErr()) {
    process.stderr.write(`${parsed.error}\n`);
    return EXIT_USAGE;
  }
  if (Reflect.get(parsed.value.values, 'help') === true) {
    process.stdout.write(`${usage}\n`);
    return 0;
  }
  const code = await run(parsed.value);
  if (code.isOk()) return code.value;
  process.stderr.write(`${code.error}\n${usage}\n`);
  return EXIT_USAGE;
}
