/** What the store has shown of a table, and what hosts tell each other of it. */
import type {ReaderRank, ReplicaRow} from '@irisdock/decisions';

/**
 * How a host follows the store: itself, by its place among those that read for
 * all, or by what they tell. A loader reads the table whole once, as it has no
 * copy, and then waits until it is known who reads.
 */
export type ReaderRole = 'listener' | 'loader' | ReaderRank;

/** What the store has just shown: rows, and the change that they follow on. */
export interface StoreUpdate {
  /** None when nothing has changed. */
  readonly rows: readonly ReplicaRow[];
  /** The highest revision of a change before these. */
  readonly after: number;
  /** The highest revision of a change now. */
  readonly newest: number;
  readonly revision: number;
}

/** What another host says of the store. */
export interface TableFreshnessReport {
  /** The highest revision of a change then. */
  readonly newest: number;
  /** The store's revision then. */
  readonly revision: number;
  /** How long ago that was, in ms. */
  readonly ageMs: number;
  /** Whether it came by a reader's turn. */
  readonly isScheduledPoll: boolean;
}

/** Whether two roles are the same. */
export function isSameRole(one: ReaderRole, other: ReaderRole): boolean {
  if (typeof one !== 'object' || typeof other !== 'object') {
    return one === other;
  }
  return one.rank === other.rank && one.count === other.count;
}
