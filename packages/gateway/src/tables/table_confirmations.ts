/**
 * The reads of the store that confirmed the replica of one table: those of this
 * host, and those that other hosts reported.
 */
import {ReadConfirmations, type ConfirmingRead} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {LastReady} from '../model/peer_tables_message.js';
import type {TableRows} from '../model/table_store.js';
import type {RestoreGracePeriod} from './restore_grace_period.js';

/** The rows of a read, and when it began on this host's clock, in ms. */
export interface DatedRows extends TableRows {
  readonly begunAt: number;
}

/** What a read or a report of one tells. */
type ReportedRead = Pick<TableRows, 'revision' | 'storeNow'> &
  Partial<Pick<DatedRows, 'begunAt'>>;

/** The most endpoints that are known to be leaving; the oldest go first. */
const MAX_LEAVING = 2000;

/** The confirmations of one table. */
export class TableConfirmations {
  private readonly confirmations = new ReadConfirmations();
  /** By instance id, when a leaving endpoint was ready, on the store's clock. */
  private readonly lastReady = new Map<string, number>();

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

  /** Records when a leaving endpoint was ready at last, for other hosts too. */
  recordLastReady(instanceId: string, storeNow: number): void {
    const {lastReady} = this;
    lastReady.set(instanceId, storeNow);
    const [oldest = ''] = lastReady.keys();
    if (lastReady.size > MAX_LEAVING) lastReady.delete(oldest);
  }

  /** Applies what another host knows; what is known here comes first. */
  acceptLastReady(reports: readonly LastReady[]): void {
    for (const {instanceId, storeNow} of reports) {
      if (this.lastReady.has(instanceId)) continue;
      this.recordLastReady(instanceId, storeNow);
    }
  }

  /** Drops an endpoint that gets no more requests. */
  dropLastReady(instanceId: string): void {
    this.lastReady.delete(instanceId);
  }

  /** Lists when leaving endpoints were ready at last. */
  listLastReady(): LastReady[] {
    return [...this.lastReady].map(([instanceId, storeNow]) => {
      return {instanceId, storeNow};
    });
  }

  /** Finds the last read by which a leaving endpoint was ready. */
  findLastReady(instanceId: string): ConfirmingRead | undefined {
    const storeNow = this.lastReady.get(instanceId);
    if (storeNow === undefined) return undefined;
    return this.createRead({revision: 0, storeNow});
  }

  private createRead({
    revision,
    storeNow,
    begunAt = -Infinity,
  }: ReportedRead): ConfirmingRead {
    return {revision, storeNow, begunAt, receivedAt: this.clock.getNow()};
  }
}
