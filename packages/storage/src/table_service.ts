/** The platform's transactional table, as the system uses it. */
import type {KnownError} from '@irisdock/kernel';
import type {Result} from 'neverthrow';
import type {PlatformErrorKind} from './errors.js';

/** An error of the platform. */
export type PlatformError = KnownError<PlatformErrorKind>;

/** A row with its version, which grows with each write to it. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: string;
}

/** A range of keys: `from` included, `until` not. */
export interface KeyRange {
  readonly from: string;
  readonly until: string;
  readonly limit: number;
}

/** A condition on a row's version; 0 asks that it is absent. */
export interface RowCondition {
  readonly key: string;
  readonly version: number;
}

/** A write; a null value deletes the row. */
export interface RowWrite {
  readonly key: string;
  readonly value: string | null;
}

/** Writes that take effect together, or not at all. */
export interface Transaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** What became of a transaction; `failed` are the keys in the way. */
export interface CommitResult {
  readonly committed: boolean;
  readonly failed: readonly string[];
}

/** The table service. */
export interface TableService {
  /** Reads the rows of the keys that exist. */
  readRows(
    keys: readonly string[],
  ): Promise<Result<readonly TableRow[], PlatformError>>;
  /** Reads a range, in the order of the keys. */
  scanRows(
    range: KeyRange,
  ): Promise<Result<readonly TableRow[], PlatformError>>;
  /** Commits a transaction; an error may mean that it took effect. */
  commit(
    transaction: Transaction,
  ): Promise<Result<CommitResult, PlatformError>>;
}
