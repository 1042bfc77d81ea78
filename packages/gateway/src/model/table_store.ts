/**
 * The interface of the central store: tables that can be read whole and whose
 * changes can be followed. Each row has the revision of its last change;
 * revisions come from one counter that increases with every change of the
 * store.
 */
import type {KnownError} from '@irisdock/kernel';
import type {Result} from 'neverthrow';

/** A row; one without a value was deleted at that revision. */
export interface TableRow {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/**
 * The rows read from a table, and the revision after which changes must be
 * followed to miss none. Rows that changed during the read may be newer than
 * it.
 */
export interface TableRows {
  readonly rows: readonly TableRow[];
  readonly revision: number;
  /**
   * The time of the store's steady clock, in ms, at most that of the revision;
   * undefined if the store does not tell.
   */
  readonly storeNow?: number | undefined;
}

/** The names of the tables. */
export const TABLE_NAMES = [
  'configuration',
  'crashes',
  'endpoints',
  'hosts',
  'origins',
  'retries',
  'rollouts',
  'tasks',
  'versions',
] as const;
/** The name of a table. */
export type TableName = (typeof TABLE_NAMES)[number];

/** The tables of which every host keeps a replica. */
export const REPLICATED_TABLES = [
  'configuration',
  'endpoints',
  'crashes',
  'versions',
] as const;
/** The name of a replicated table. */
export type ReplicatedTable = (typeof REPLICATED_TABLES)[number];

/** A write of a row: its new value, or undefined to delete it. */
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

/** The client of the store. */
export interface TableStore {
  /**
   * The time after which a call fails that the store has not answered, beyond a
   * requested wait, in ms; undefined if calls end in time by other means.
   */
  readonly timeoutMs?: number;
  /**
   * Reads all rows of a table.
   *
   * @param extraMs How long an answer is awaited beyond the timeout, in ms.
   */
  readAll(
    table: TableName,
    extraMs?: number,
  ): Promise<Result<TableRows, StoreError>>;
  /**
   * Reads the changes after a revision; without any, waits for one.
   *
   * @param waitMs How long the store may wait for a change.
   * @param extraMs As for `readAll`.
   */
  readChanges(
    table: TableName,
    after: number,
    waitMs: number,
    extraMs?: number,
  ): Promise<Result<TableRows, StoreError>>;
  /** Writes a row. */
  write(
    table: TableName,
    key: string,
    value: string,
  ): Promise<Result<void, StoreError>>;
  /**
   * Writes a row if it has the expected revision; fails with `store_conflict`
   * otherwise.
   *
   * @param expected The expected revision; 0 for a row that does not exist.
   */
  writeIf(
    table: TableName,
    key: string,
    value: string,
    expected: number,
  ): Promise<Result<void, StoreError>>;
  /** Writes and deletes up to a hundred rows atomically. */
  writeAll(
    table: TableName,
    changes: readonly RowChange[],
  ): Promise<Result<void, StoreError>>;
  /** Deletes a row. */
  delete(table: TableName, key: string): Promise<Result<void, StoreError>>;
  close(): void;
}

/** Decodes the values of rows. */
export interface RowCodec<T> {
  /** @returns The decoded value, or why it is invalid. */
  decode(key: string, value: string): Result<T, string>;
}
