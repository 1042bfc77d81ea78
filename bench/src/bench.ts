/** The one shape of a measurement, and how its result is shown and kept. */
import {mkdir, writeFile} from 'node:fs/promises';
import {cpus, totalmem} from 'node:os';

/** A row of results: cells by column. */
export type ResultRow = Readonly<Record<string, number | string>>;

/** What a measurement found. */
export interface BenchResult {
  readonly rows: readonly ResultRow[];
  /** What must be known to read the rows. */
  readonly notes: readonly string[];
}

/** A measurement. */
export interface Bench {
  readonly name: string;
  readonly description: string;
  /**
   * @param printRow Shows a row as soon as it is there.
   * @param words What came after the name on the command line.
   */
  run(
    printRow: (row: ResultRow) => void,
    words: readonly string[],
  ): Promise<BenchResult>;
}

/** Declares a measurement; every file under benches/ calls this once. */
export function createBench(bench: Bench): Bench {
  return bench;
}

/** Runs a measurement, prints its table and writes it as JSON. */
export async function runBench(
  bench: Bench,
  words: readonly string[],
): Promise<void> {
  process.stdout.write(`${bench.name}: ${bench.description}\n`);
  const result = await bench.run((row) => {
    process.stdout.write(`${JSON.stringify(row)}\n`);
  }, words);
  process.stdout.write(`${formatTable(result.rows)}\n`);
  for (const note of result.notes) process.stdout.write(`note: ${note}\n`);
  const machine = {
    cores: cpus().length,
    memoryGiB: Math.round(totalmem() / 2 ** 30),
    node: process.version,
  };
  const folder = new URL('../../out/', import.meta.url);
  await mkdir(folder, {recursive: true});
  const text = JSON.stringify({name: bench.name, machine, ...result}, null, 2);
  await writeFile(new URL(`${bench.name}.json`, folder), `${text}\n`);
}

function formatTable(rows: readonly ResultRow[]): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const texts = [
    columns,
    ...rows.map((row) => columns.map((column) => String(row[column] ?? ''))),
  ];
  const widths = columns.map((_, at) =>
    Math.max(...texts.map((row) => row[at]?.length ?? 0)),
  );
  return texts
    .map((row) => row.map((cell, at) => cell.padStart(widths[at] ?? 0)))
    .map((row) => row.join('  '))
    .join('\n');
}
