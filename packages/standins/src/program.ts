/** What the stand-ins' programs share: settings, start, stop by signal. */
import {
  formatSettingsHelp,
  parseSettings,
  RoarrLogger,
  startLogs,
  type Logger,
} from '@irisdock/kernel';
import type * as z from 'zod';

/** A stand-in that runs in a process of its own. */
export interface Program<S extends z.ZodObject> {
  readonly name: string;
  readonly settings: S;
  /** Starts listening and gives the place as `ip:port`. */
  start(settings: z.infer<S>, log: Logger): Promise<string>;
}

/** Runs a stand-in; its first line on standard output is its place as JSON. */
export async function runProgram<S extends z.ZodObject>(
  program: Program<S>,
): Promise<void> {
  const args = process.argv.slice(2);
  const groups = [{name: program.name, schema: program.settings}];
  if (args.includes('--help')) {
    process.stdout.write(`${program.name}\n${formatSettingsHelp(groups)}\n`);
    return;
  }
  const values = parseSettings(groups, args, process.env);
  if (values.isErr()) {
    process.stderr.write(`${values.error.join('\n')}\n`);
    process.exitCode = 2;
    return;
  }
  startLogs();
  const settings = values.value.get(program.name) as z.infer<S>;
  const log = new RoarrLogger(program.name, 'warn');
  const place = await program.start(settings, log);
  process.once('SIGTERM', () => process.exit(0));
  process.stdout.write(`${JSON.stringify({ready: true, place})}\n`);
}
