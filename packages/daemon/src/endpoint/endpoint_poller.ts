/**
 * Polls endpoints periodically for their load and engines for their cache
 * events as well. Polls of one endpoint never overlap.
 */
import type {Random} from '@irisdock/kernel';
import type {BlockEvent} from '@irisdock/decisions';
import type {LoadReport} from '@irisdock/endpoints';
import type {EndpointRecord} from './endpoint_record.js';

/** The intervals and the timeout of polls. */
export interface PollOptions {
  /** The shortest time between two polls of an endpoint. */
  readonly pollMs: number;
  /** The maximum number of polls per second of all endpoints together. */
  readonly looksPerSecond: number;
  readonly pollTimeoutMs: number;
}

/** The effects of polls. */
export interface PollEffects {
  applyEvents(record: EndpointRecord, events: readonly BlockEvent[]): void;
  /** Drops the known prefixes: cache events were missed, so they are outdated. */
  dropPrefixes(record: EndpointRecord): void;
  reportLost(record: EndpointRecord): void;
  /** Shares a report that this host received from the endpoint itself. */
  sendReport(record: EndpointRecord, report: LoadReport): void;
}

interface PollState {
  timer: NodeJS.Timeout;
  isPolling: boolean;
  pollCount: number;
}

/** Cache events are delayed anyway, so they are polled less often than load. */
const POLLS_PER_CACHE_POLL = 4;

/** Polls endpoints. */
export class EndpointPoller {
  private readonly states = new Map<EndpointRecord, PollState>();

  constructor(
    private readonly options: PollOptions,
    private readonly random: Random,
    private readonly effects: PollEffects,
  ) {}

  /** Starts polling an endpoint. */
  add(record: EndpointRecord): void {
    const timer = setTimeout(() => undefined, 0);
    this.states.set(record, {timer, isPolling: false, pollCount: 0});
    this.poll(record);
  }

  /** Stops polling an endpoint. */
  remove(record: EndpointRecord): void {
    clearTimeout(this.states.get(record)?.timer);
    this.states.delete(record);
  }

  /** Polls immediately, ahead of schedule, unless a poll is in progress. */
  poll(record: EndpointRecord): void {
    const state = this.states.get(record);
    if (state === undefined || state.isPolling) return;
    clearTimeout(state.timer);
    state.isPolling = true;
    void this.pollLoad(record, state).finally(() => {
      state.isPolling = false;
      this.planNext(record);
    });
  }

  private planNext(record: EndpointRecord): void {
    const state = this.states.get(record);
    if (state === undefined) return;
    const {pollMs, looksPerSecond} = this.options;
    const sharedMs = (this.states.size * 1000) / looksPerSecond;
    const jitter = 0.75 + this.random.getInt(500) / 1000;
    state.timer = setTimeout(
      () => {
        this.poll(record);
      },
      Math.max(pollMs, sharedMs) * jitter,
    );
  }

  private async pollLoad(
    record: EndpointRecord,
    state: PollState,
  ): Promise<void> {
    const {engine, plain} = record.clients;
    const client = engine ?? plain;
    if (client === undefined) return;
    const load = await client.getLoad(this.options.pollTimeoutMs);
    if (load.isErr()) {
      if (record.applyMiss(load.error)) this.effects.reportLost(record);
      return;
    }
    record.applyReport(load.value);
    this.effects.sendReport(record, load.value);
    state.pollCount++;
    if (engine !== undefined && state.pollCount % POLLS_PER_CACHE_POLL === 1) {
      await this.pollCache(record);
    }
  }

  private async pollCache(record: EndpointRecord): Promise<void> {
    const {pollTimeoutMs} = this.options;
    const after = record.cacheSequence;
    const page = await record.clients.engine?.getCacheEvents(
      after,
      pollTimeoutMs,
    );
    if (page === undefined || page.isErr()) return;
    const {events, next, gap} = page.value;
    // A lower sequence number means that the engine has restarted.
    if (gap || next < after) this.effects.dropPrefixes(record);
    record.cacheSequence = next;
    this.effects.applyEvents(record, events);
  }
}
