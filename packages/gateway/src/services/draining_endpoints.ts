/**
 * Until when endpoints that are leaving get requests of begun streams. The store
 * took the change after the last read by which the entry was ready, and the
 * endpoint serves on for the drain time. What is known of that read counts from
 * the change on, as later changes of the entry are no later leaving.
 */
import type {ConfirmingRead} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {EndpointRecord} from '../serving/endpoint_record.js';
import type {TableConfirmations} from '../tables/table_confirmations.js';
import {computeDrainEnd, type DrainParts} from './endpoint_ends.js';

/** Dependencies of the drains. */
export interface DrainingEndpointsParts extends Pick<DrainParts, 'drainMs'> {
  /** The reads of the store that confirmed the table. */
  readonly confirmations: Pick<
    TableConfirmations,
    | 'computeTime'
    | 'dropLastReady'
    | 'findBefore'
    | 'findLastReady'
    | 'recordLastReady'
  >;
  /** Reads the store at once. */
  readonly pollStore: () => Promise<unknown>;
  readonly clock: Clock;
}

/** The time between two reads of the store for its clock, in ms. */
const POLL_INTERVAL_MS = 1000;

/** The last reads by which leaving endpoints were ready. */
export class DrainingEndpoints {
  private readonly lastReadyReads = new Map<EndpointRecord, ConfirmingRead>();
  /** Endpoints that were leaving when this host first heard of them. */
  private readonly undecided = new Set<EndpointRecord>();
  private lastPoll: Promise<unknown> = Promise.resolve();
  private polledAt = -Infinity;

  constructor(private readonly parts: DrainingEndpointsParts) {}

  /** Starts the drain of an endpoint whose entry was ready until a revision. */
  start(record: EndpointRecord, revision: number): void {
    const read = this.parts.confirmations.findBefore(revision);
    if (read === undefined) return;
    const {instanceId} = record;
    const {storeNow} = read;
    if (storeNow !== undefined) {
      this.parts.confirmations.recordLastReady(instanceId, storeNow);
    }
    this.lastReadyReads.set(record, read);
    this.updateEnd(record, read);
  }

  /** Adds an endpoint that is leaving already; another host may know since when. */
  add(record: EndpointRecord): void {
    this.undecided.add(record);
  }

  /** Ends the drain: the endpoint gets no more requests. */
  end(record: EndpointRecord): void {
    this.lastReadyReads.delete(record);
    this.undecided.delete(record);
    this.parts.confirmations.dropLastReady(record.instanceId);
    record.setDrainEnd(-Infinity);
  }

  /** Lists the leaving endpoints of a service that still serve begun streams. */
  async listDraining(service: string): Promise<EndpointRecord[]> {
    this.applyReports();
    await this.loadEnds(service);
    return [...this.lastReadyReads.keys()].filter(
      ({entry, isDraining}) => entry.service === service && isDraining,
    );
  }

  /** Applies what other hosts told of endpoints that are leaving. */
  private applyReports(): void {
    for (const record of this.undecided) {
      const {confirmations} = this.parts;
      const read = confirmations.findLastReady(record.instanceId);
      if (read === undefined) continue;
      this.undecided.delete(record);
      this.lastReadyReads.set(record, read);
      this.updateEnd(record, read);
    }
  }

  /**
   * Learns the ends of a service's drains if this host has no bound on the
   * store's clock: one read of the store gives it.
   */
  private async loadEnds(service: string): Promise<void> {
    const {clock, pollStore} = this.parts;
    const undated = this.listUndated(service);
    if (undated.length === 0) return;
    const now = clock.getNow();
    if (now - this.polledAt >= POLL_INTERVAL_MS) {
      this.polledAt = now;
      this.lastPoll = pollStore();
    }
    await this.lastPoll;
    for (const [record, read] of undated) this.updateEnd(record, read);
  }

  private updateEnd(record: EndpointRecord, read: ConfirmingRead): void {
    const readyAt = this.parts.confirmations.computeTime(read);
    record.setDrainEnd(computeDrainEnd(readyAt, this.parts));
  }

  /** Lists the reads of a service whose time is not known. */
  private listUndated(
    service: string,
  ): (readonly [EndpointRecord, ConfirmingRead])[] {
    const {confirmations} = this.parts;
    return [...this.lastReadyReads].filter(
      ([{entry}, read]) =>
        entry.service === service &&
        confirmations.computeTime(read) === -Infinity,
    );
  }
}
