/**
 * Up to when a replica of a table was confirmed by reads of the store. A row
 * that changed after the revision of a read had its previous value at the time
 * of that read, which bounds the time of the change from below.
 *
 * Answers name the time of the store's steady clock. The difference of this
 * host's clock to it is bounded by each read of this host, as the store answers
 * after the read began. So a read of another host counts too, however long its
 * report took.
 */
import {getEra} from './store_revision.js';

/** A read that brought the replica up to a revision. */
export interface ConfirmingRead {
  readonly revision: number;
  /** The time of the store's clock, in ms; undefined if it named none. */
  readonly storeNow: number | undefined;
  /** When it began, in ms of this host's clock; -Infinity if unknown. */
  readonly begunAt: number;
  /** When this host got the answer, or another host's report of it. */
  readonly receivedAt: number;
}

/** The difference of two clocks by one read, and when that was. */
interface ClockDifference {
  readonly ms: number;
  readonly at: number;
}

/** Reads that are kept: over 30 s at two each second. */
const MAX_READS = 64;
/**
 * How long a difference of clocks is used, in ms. Clocks differ by some 30 ms
 * after it, at 100 millionths.
 */
const MAX_DIFFERENCE_AGE_MS = 300_000;
/** The error of clocks that are read in whole ms and drift apart, in ms. */
const MAX_CLOCK_ERROR_MS = 40;
/** The store's clock does not go back, except by a new store. */
const MAX_STEP_BACK_MS = 1000;

/** The recent confirmations of one replica. */
export class ReadConfirmations {
  /** By rising revision. */
  private reads: ConfirmingRead[] = [];
  /** The least that this host's clock is ahead of the store's. */
  private difference: ClockDifference | undefined;
  private newestStoreNow = -Infinity;

  /** Records the clocks of a read of this host, before its rows are applied. */
  recordClocks({
    storeNow,
    begunAt,
    receivedAt,
  }: Pick<ConfirmingRead, 'begunAt' | 'receivedAt' | 'storeNow'>): void {
    if (storeNow === undefined) return;
    const hasStepped = storeNow < this.newestStoreNow - MAX_STEP_BACK_MS;
    if (hasStepped) this.dropAll();
    this.newestStoreNow = Math.max(this.newestStoreNow, storeNow);
    const {difference} = this;
    const ms = begunAt - storeNow;
    const isOld =
      difference === undefined ||
      receivedAt - difference.at > MAX_DIFFERENCE_AGE_MS;
    if (isOld || ms >= difference.ms) this.difference = {ms, at: receivedAt};
  }

  /** Records a read after its rows were applied. */
  record(read: ConfirmingRead): void {
    const {reads} = this;
    const last = reads.at(-1);
    if (last !== undefined && read.revision < last.revision) return;
    if (last?.revision === read.revision) {
      if (!isLater(read, last)) return;
      reads.pop();
    }
    reads.push(read);
    if (reads.length > MAX_READS) reads.shift();
  }

  /**
   * Finds the last read whose answer precedes a change.
   *
   * @param revision The revision of the change.
   */
  findBefore(revision: number): ConfirmingRead | undefined {
    const era = getEra(revision);
    return this.reads.findLast(
      (read) => read.revision < revision && getEra(read.revision) === era,
    );
  }

  /**
   * Computes the earliest time at which a read may have been answered, in ms of
   * this host's clock; -Infinity if that is not known.
   */
  computeTime({storeNow, begunAt, receivedAt}: ConfirmingRead): number {
    const {difference} = this;
    if (storeNow === undefined || difference === undefined) return begunAt;
    const at = storeNow + difference.ms;
    // The store's clock was set back since.
    if (at > receivedAt + MAX_CLOCK_ERROR_MS) return begunAt;
    return Math.max(begunAt, at);
  }

  /** Drops all, as the store's clock has started anew. */
  private dropAll(): void {
    this.reads = [];
    this.difference = undefined;
    this.newestStoreNow = -Infinity;
  }
}

function isLater(one: ConfirmingRead, other: ConfirmingRead): boolean {
  if (one.storeNow === undefined || other.storeNow === undefined) {
    return one.begunAt > other.begunAt;
  }
  return one.storeNow > other.storeNow;
}
