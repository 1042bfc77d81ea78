/** `npm run bench -- <name>`: runs one measurement, or all. */
import {BENCHES} from './bench_table.js';
import {runBench} from './bench.js';

const [name] = process.argv.slice(2);
const chosen = BENCHES.filter((b) => name === 'all' || b.name === name);
if (chosen.length === 0) {
  const lines = BENCHES.map((b) => `  ${b.name.padEnd(10)} ${b.description}`);
  process.stdout.write(`npm run bench -- <name>\n${lines.join('\n')}\n`);
  process.exitCode = name === undefined ? 0 : 2;
}
for (const bench of chosen) await runBench(bench);
