/** Prints results as a table or as JSON. */

/** The formats there are. */
export const FORMATS = ['table', 'json'] as const;
/** A format. */
export type Format = (typeof FORMATS)[number];

/** A row of a table: its cells in the order of the columns. */
export type Row = readonly (boolean | number | string)[];

/** A table with its columns. */
export interface Table {
  readonly columns: readonly string[];
  readonly rows: readonly Row[];
}

/** Where a command writes. */
export interface Output {
  /** Prints one JSON value, or a table with the given columns. */
  print(value: unknown, columns: readonly string[], rows: readonly Row[]): void;
  /** Prints one JSON value, or tables with an empty line between them. */
  printTables(value: unknown, tables: readonly Table[]): void;
  /** Prints a line of progress; in JSON one value a line. */
  printLine(value: unknown, line: string): void;
  /** Prints to standard error. */
  printError(line: string): void;
}

/** Writes to the process's own streams. */
export class StandardOutput implements Output {
  constructor(private readonly format: Format) {}

  print(
    value: unknown,
    columns: readonly string[],
    rows: readonly Row[],
  ): void {
    this.write(value, formatTable(columns, rows));
  }

  printTables(value: unknown, tables: readonly Table[]): void {
    const texts = tables.map(({columns, rows}) => formatTable(columns, rows));
    this.write(value, texts.join('\n\n'));
  }

  printLine(value: unknown, line: string): void {
    const text = this.format === 'json' ? JSON.stringify(value) : line;
    process.stdout.write(`${text}\n`);
  }

  private write(value: unknown, table: string): void {
    const json = this.format === 'json';
    const text = json ? JSON.stringify(value, null, 2) : table;
    process.stdout.write(`${text}\n`);
  }

  printError(line: string): void {
    process.stderr.write(`${line}\n`);
  }
}

/** Formats a table with columns as wide as their widest cell. */
export function formatTable(
  columns: readonly string[],
  rows: readonly Row[],
): string {
  const texts = [columns, ...rows.map((row) => row.map(String))];
  const widths = columns.map((_, at) =>
    Math.max(...texts.map((row) => row[at]?.length ?? 0)),
  );
  return texts
    .map((row) =>
      row.map((cell, at) => cell.padEnd(widths[at] ?? 0)).join('  '),
    )
    .map((line) => line.trimEnd())
    .join('\n');
}
