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
