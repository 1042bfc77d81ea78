/** What a host reads from the store, and reports of how recent that is. */
import type {ReaderRank, ReplicaRow} from '@irisdock/decisions';

/**
 * How a host follows the store. A reader (`ReaderRank`) polls the store for
 * all hosts; a listener receives updates from the readers. A loader has no
 * replica yet: it reads the whole table once, then waits until the readers are
 * known.
 */
export type ReaderRole = 'listener' | 'loader' | ReaderRank;

/** The result of a read of the store: changed rows, if any, and revisions. */
export interface StoreUpdate {
  /** Empty when nothing has changed. */
  readonly rows: readonly ReplicaRow[];
  /** The revision of the last change before these rows. */
  readonly after: number;
  /** The revision of the last change, these rows included. */
  readonly newest: number;
  /** The store's revision. */
  readonly revision: number;
  /** The time of the store's clock, in ms; undefined if it named none. */
  readonly storeNow?: number | undefined;
  /** How long ago the read began if it was answered late, in ms; else absent. */
  readonly ageMs?: number;
}

/** What another host reports about the state of the store at some time. */
export interface TableFreshnessReport {
  /** The revision of the table's last change at that time. */
  readonly newest: number;
  /** The store's revision at that time. */
  readonly revision: number;
  /** How long ago that was, in ms. */
  readonly ageMs: number;
  /** The time of the store's clock then, in ms; absent if unknown. */
  readonly storeNow?: number | undefined;
  /** Whether it results from a reader's scheduled poll. */
  readonly isScheduledPoll: boolean;
}

/** Whether two roles are the same. */
export function isSameRole(one: ReaderRole, other: ReaderRole): boolean {
  if (typeof one !== 'object' || typeof other !== 'object') {
    return one === other;
  }
  return one.rank === other.rank && one.count === other.count;
}
