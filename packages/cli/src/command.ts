/** The one shape of a command: its name, help, options and what it does. */
import type {KnownError} from '@irisdock/kernel';
import type {Result} from 'neverthrow';
import type * as z from 'zod';
import type {ApiClient} from './api_client.js';
import type {Output} from './output.js';

/** One option as help shows it. */
export interface OptionInfo {
  readonly flag: string;
  readonly short?: string;
  readonly isSwitch?: boolean;
  readonly description: string;
}

/** What a command works with. */
export interface CommandContext {
  readonly client: ApiClient;
  readonly output: Output;
  /** Reads a file, or standard input for `-`. */
  readFile(name: string): Promise<Result<string, KnownError>>;
}

/** What came on the command line, before it is checked. */
export interface RawArguments {
  readonly words: readonly string[];
  readonly options: Readonly<Record<string, unknown>>;
}

/** A command. */
export interface Command<Schema extends z.ZodType = z.ZodType> {
  readonly name: string;
  /** The words after the name, as help shows them. */
  readonly usage: string;
  readonly description: string;
  readonly options: readonly OptionInfo[];
  /** Checks the words and options. */
  readonly schema: Schema;
  run(
    context: CommandContext,
    args: z.infer<Schema>,
  ): Promise<Result<void, KnownError>>;
}

/** A command with its arguments' type forgotten. */
export interface AnyCommand extends Omit<Command, 'run'> {
  run(
    context: CommandContext,
    args: unknown,
  ): Promise<Result<void, KnownError>>;
}

/** Declares a command; every file under commands/ calls this once. */
export function createCommand<Schema extends z.ZodType>(
  command: Command<Schema>,
): AnyCommand {
  return {
    ...command,
    // Arguments reach this only after the command's own schema passed them.
    run: (context, args) => command.run(context, args as z.infer<Schema>),
  };
}
