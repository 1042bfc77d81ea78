/**
 * Runs one case: its deployment, its record and its exit code. The exit code is
 * 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';

const BROKEN = 1;
const NOT_RUN = 2;
const MAX_RUN_MS = 115_000;

/** Whether the run includes the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** What was sent, answered and run, as lines of the file `record.txt`. */
export class Record {
  constructor(folder) {
    this.path = fileURLToPath(new URL('record.txt', folder));
    this.lines = [];
    this.add(`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`);
  }

  add(line) {
    const seconds = (performance.now() / 1000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} ${line}`);
  }

  /** Adds a line of the summary, which is printed as well. */
  report(line) {
    this.add(line);
    console.log(line);
  }

  save() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/**
 * Runs a case; `play` resolves with whether the rule was broken.
 *
 * @param folder The URL of the case's program.
 * @param stop Ends all that the case started.
 */
export async function runCase(folder, play, stop) {
  const record = new Record(new URL('.', folder));
  let code = NOT_RUN;
  const timer = setTimeout(() => {
    record.report('the case took too long');
    record.save();
    process.exit(NOT_RUN);
  }, MAX_RUN_MS);
  try {
    const isBroken = await play(record);
    record.report(isBroken ? 'the rule was broken' : 'the rule held');
    code = isBroken ? BROKEN : 0;
  } catch (thrown) {
    record.report(`the case could not run: ${String(thrown)}`);
  }
  clearTimeout(timer);
  await stop();
  record.save();
  process.exit(code);
}
