/** Checks the program of the hosts before any of them is started. */
import {existsSync} from 'node:fs';

/** Says what is wrong with the program; undefined when it can be run. */
export function findProgramFault(program: string): string | undefined {
  if (existsSync(program)) return undefined;
  return (
    `The hosts have no program: ${program} is missing. Build it with ` +
    '`npm run prepare:all`, or name another one with --program.'
  );
}
