/**
 * The table of the platform stand-in: rows with versions in memory, and
 * transactions that apply whole or not at all. Versions come from one counter
 * and never repeat, also after a row was deleted.
 */
import * as z from 'zod';

/** A transaction: conditions on versions (0 is absent), then writes. */
export const COMMIT_SCHEMA = z.object({
  conditions: z.array(z.object({key: z.string(), version: z.number().int()})),
  writes: z.array(z.object({key: z.string(), value: z.string().nullable()})),
});
type Commit = z.infer<typeof COMMIT_SCHEMA>;

/** A range of keys, `from` included and `until` not. */
export const SCAN_SCHEMA = z.object({
  from: z.string(),
  until: z.string(),
  limit: z.number().int().min(1).max(5000),
});

interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: string;
}

/** Rows in memory. */
export class Table {
  private readonly rows = new Map<string, Row>();
  private counter = 0;

  /** Gives the rows of the keys that exist. */
  readRows(keys: readonly string[]): Row[] {
    return keys.flatMap((key) => this.rows.get(key) ?? []);
  }

  /** Gives the rows of a range in the order of their keys. */
  scanRows(range: z.infer<typeof SCAN_SCHEMA>): Row[] {
    const keys = [...this.rows.keys()]
      .filter((key) => key >= range.from && key < range.until)
      .sort();
    return this.readRows(keys.slice(0, range.limit));
  }

  /** Applies a transaction; gives the keys whose condition failed. */
  commit(commit: Commit): string[] {
    const failed = commit.conditions
      .filter(({key, version}) => this.getVersion(key) !== version)
      .map(({key}) => key);
    if (failed.length > 0) return failed;
    this.counter++;
    for (const {key, value} of commit.writes) {
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, {key, version: this.counter, value});
    }
    return [];
  }

  private getVersion(key: string): number {
    return this.rows.get(key)?.version ?? 0;
  }
}
