/**
 * Which rows of origins one host has read, and since when each is unchanged. A
 * row whose host is lost is deleted once another host has seen it unchanged for
 * as long as its streams may be needed: wall clocks jump, and differ.
 */
import {MAX_ROW_LIFE_MS, type SavedRow} from '../model/origin_row.js';

/** What is known of a row since an earlier read. */
interface SeenRow {
  /** A row only ever gets more streams, so its size tells whether it did. */
  readonly size: number;
  /** When it was first read with this size, on the monotonic clock. */
  readonly seenAt: number;
}

/** Follows the rows over the reads of a host. */
export class SeenRows {
  private rows = new Map<string, SeenRow>();
  private next = new Map<string, SeenRow>();

  /** Records a row of the current read; returns whether it is over. */
  add(key: string, size: number, {lifeMs}: SavedRow, now: number): boolean {
    const known = this.rows.get(key);
    const seen = known?.size === size ? known : {size, seenAt: now};
    this.next.set(key, seen);
    const neededMs = Math.min(lifeMs ?? MAX_ROW_LIFE_MS, MAX_ROW_LIFE_MS);
    return now - seen.seenAt > neededMs;
  }

  /** Ends the current read, which had all rows. */
  endRead(): void {
    this.rows = this.next;
    this.next = new Map();
  }
}
