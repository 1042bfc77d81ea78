/** `npm run bench -- <name> [words]`: runs one measurement, or all. */
import {runBench} from './bench.js';
import {BENCHES} from './bench_table.js';

async function runMain(
  name: string | undefined,
  words: readonly string[],
): Promise<number> {
  const chosen = BENCHES.filter((b) => name === 'all' || b.name === name);
  for (const bench of chosen) await runBench(bench, words);
  if (chosen.length > 0) return 0;
  const lines = BENCHES.map((b) => `  ${b.name.padEnd(10)} ${b.description}`);
  process.stdout.write(`npm run bench -- <name>\n${lines.join('\n')}\n`);
  return name === undefined ? 0 : 2;
}

const [NAME, ...WORDS] = process.argv.slice(2);
process.exitCode = await runMain(NAME, WORDS);
