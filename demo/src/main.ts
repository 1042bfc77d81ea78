/** Runs the demonstration; ends with 1 when an answer is not whole. */
import {runDemo} from './demo.js';

const REPORT = await runDemo();
process.stdout.write(`${JSON.stringify(REPORT)}\n`);
process.exitCode = REPORT.whole ? 0 : 1;
