/**
 * A table of a store that can be read whole and followed. Each row carries
 * the revision of its last change; revisions come from one counter that rises
 * with every change of the store.
 */
import type {KnownError} from '@irisdock/kernel';
import type {Result} from 'neverthrow';

/** A row; without a value it was deleted at that revision. */
export interface TableRow {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/**
 * Rows as of one revision, or newer ones of a table that changed while it was
 * read: whoever follows the changes after the revision misses none.
 */
export interface TableRows {
  readonly rows: readonly TableRow[];
  readonly revision: number;
}

/** The names of the tables, as this project uses them. */
export const TABLE_NAMES = [
  'configuration',
  'crashes',
  'endpoints',
  'hosts',
  'rollouts',
] as const;
/** The name of a table. */
export type TableName = (typeof TABLE_NAMES)[number];

/** The tables that every host keeps a copy of. */
export const REPLICATED_TABLES = [
  'configuration',
  'endpoints',
  'crashes',
] as const;
/** The name of a followed table. */
export type ReplicatedTable = (typeof REPLICATED_TABLES)[number];

/** What becomes of a row: its new value, or undefined to delete it. */
export interface RowChange {
  readonly key: string;
  readonly value: string | undefined;
}

/** Why a call to the store failed. */
export type StoreErrorKind =
  | 'store_busy'
  | 'store_conflict'
  | 'store_history_lost'
  | 'store_silent'
  | 'store_unavailable'
  | 'store_unreadable';

/** An error of the store. */
export type StoreError = KnownError<StoreErrorKind>;

/** The store, as the services of this package use it. */
export interface TableStore {
  /** Reads all rows of a table. */
  readAll(table: TableName): Promise<Result<TableRows, StoreError>>;
  /**
   * Waits for changes after a revision.
   *
   * @param waitMs How long the store may wait for one.
   */
  readChanges(
    table: TableName,
    after: number,
    waitMs: number,
  ): Promise<Result<TableRows, StoreError>>;
  /** Writes a row. */
  write(
    table: TableName,
    key: string,
    value: string,
  ): Promise<Result<void, StoreError>>;
  /**
   * Writes a row if its revision is the expected one; `store_conflict` when it
   * is not.
   *
   * @param expected 0 for a row that is not there.
   */
  writeIf(
    table: TableName,
    key: string,
    value: string,
    expected: number,
  ): Promise<Result<void, StoreError>>;
  /** Writes and deletes rows, all or none; a hundred at most. */
  writeAll(
    table: TableName,
    changes: readonly RowChange[],
  ): Promise<Result<void, StoreError>>;
  /** Deletes a row. */
  delete(table: TableName, key: string): Promise<Result<void, StoreError>>;
  close(): void;
}

/** Reads the values of rows. */
export interface RowCodec<T> {
  /** @returns The value, or what is wrong with it. */
  decode(key: string, value: string): Result<T, string>;
}
