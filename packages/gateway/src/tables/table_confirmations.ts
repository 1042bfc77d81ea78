/**
 * The reads of the store that confirmed the replica of one table: those of this
 * host, and those that other hosts reported.
 */
import {ReadConfirmations, type ConfirmingRead} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {TableRows} from '../model/table_store.js';
import type {RestoreGracePeriod} from './restore_grace_period.js';

/** The rows of a read, and when it began on this host's clock, in ms. */
export interface DatedRows extends TableRows {
  readonly begunAt: number;
}

/** What a read or a report of one tells. */
type ReportedRead = Pick<TableRows, 'revision' | 'storeNow'> &
  Partial<Pick<DatedRows, 'begunAt'>>;

/** The confirmations of one table. */
export class TableConfirmations {
  private readonly confirmations = new ReadConfirmations();

  /** @param getGracePeriod In it, the replica keeps rows that the store lacks. */
  constructor(
    private readonly clock: Clock,
    private readonly getGracePeriod: () => Pick<RestoreGracePeriod, 'isActive'>,
  ) {}

  /** Records the clocks in an answer of the store. */
  recordAnswer(rows: TableRows, begunAt: number): DatedRows {
    const dated = {...rows, begunAt};
    this.confirmations.recordClocks(this.createRead(dated));
    return dated;
  }

  /** Records a read or a report of one after its rows were applied. */
  record(reported: ReportedRead): void {
    const read = this.createRead(reported);
    if (this.getGracePeriod().isActive(read.receivedAt)) return;
    this.confirmations.record(read);
  }

  /** Finds the last read whose answer precedes a change, by its revision. */
  findBefore(revision: number): ConfirmingRead | undefined {
    return this.confirmations.findBefore(revision);
  }

  /** Computes when a read was answered at the earliest, in ms of the clock. */
  computeTime(read: ConfirmingRead): number {
    return this.confirmations.computeTime(read);
  }

  private createRead({
    revision,
    storeNow,
    begunAt = -Infinity,
  }: ReportedRead): ConfirmingRead {
    return {revision, storeNow, begunAt, receivedAt: this.clock.getNow()};
  }
}
