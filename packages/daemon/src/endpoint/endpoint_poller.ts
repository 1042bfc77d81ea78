/**
 * Looks at endpoints in turn: asks each for its load and, of engines, for
 * their cache events. One look at an endpoint never overlaps the next.
 */
import type {Random} from '@irisdock/kernel';
import type {BlockEvent} from '@irisdock/decisions';
import type {LoadReport} from '@irisdock/endpoints';
import type {EndpointRecord} from './endpoint_record.js';

/** How often and how long to look. */
export interface PollOptions {
  /** The shortest time between two looks at an endpoint. */
  readonly pollMs: number;
  /** Looks a second at all endpoints together. */
  readonly looksPerSecond: number;
  readonly pollTimeoutMs: number;
}

/** What a look can bring. */
export interface PollEffects {
  applyEvents(record: EndpointRecord, events: readonly BlockEvent[]): void;
  /** Cache events were missed, so what is remembered may be wrong. */
  dropPrefixes(record: EndpointRecord): void;
  reportLost(record: EndpointRecord): void;
  /** A report came from the endpoint itself. */
  sendReport(record: EndpointRecord, report: LoadReport): void;
}

interface Turn {
  timer: NodeJS.Timeout;
  looking: boolean;
  looks: number;
}

// Cache events are late anyway, so they are asked for less often than load.
const LOOKS_PER_CACHE_LOOK = 4;

/** Looks at endpoints. */
export class EndpointPoller {
  private readonly turns = new Map<EndpointRecord, Turn>();

  constructor(
    private readonly options: PollOptions,
    private readonly random: Random,
    private readonly effects: PollEffects,
  ) {}

  /** Looks at an endpoint from now on. */
  add(record: EndpointRecord): void {
    const timer = setTimeout(() => undefined, 0);
    this.turns.set(record, {timer, looking: false, looks: 0});
    this.poll(record);
  }

  /** Looks no more. */
  remove(record: EndpointRecord): void {
    clearTimeout(this.turns.get(record)?.timer);
    this.turns.delete(record);
  }

  /** Looks now, out of turn, unless a look is under way. */
  poll(record: EndpointRecord): void {
    const turn = this.turns.get(record);
    if (turn === undefined || turn.looking) return;
    clearTimeout(turn.timer);
    turn.looking = true;
    void this.pollLoad(record, turn).finally(() => {
      turn.looking = false;
      this.planNext(record);
    });
  }

  private planNext(record: EndpointRecord): void {
    const turn = this.turns.get(record);
    if (turn === undefined) return;
    const {pollMs, looksPerSecond} = this.options;
    const shared = (this.turns.size * 1000) / looksPerSecond;
    const spread = 0.75 + this.random.getInt(500) / 1000;
    turn.timer = setTimeout(
      () => {
        this.poll(record);
      },
      Math.max(pollMs, shared) * spread,
    );
  }

  private async pollLoad(record: EndpointRecord, turn: Turn): Promise<void> {
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
    turn.looks++;
    if (engine !== undefined && turn.looks % LOOKS_PER_CACHE_LOOK === 1) {
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
    // A lower sequence is that of an engine that started anew.
    if (gap || next < after) this.effects.dropPrefixes(record);
    record.cacheSequence = next;
    this.effects.applyEvents(record, events);
  }
}
