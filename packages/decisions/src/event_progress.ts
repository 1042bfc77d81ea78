/**
 * Tracks which events of a stream the caller has received. Events that it has
 * already are filtered out. After a failover the first new event of the next
 * engine must directly follow the last one, as a missing event could not be
 * sent later.
 */
import type {ServerSentEvent} from './event_splitter.js';

/** The result of filtering received events. */
export interface AcceptedEvents {
  /** The events to send to the caller. */
  readonly newEvents: readonly Buffer[];
  /** Whether events are missing before the first new one after a failover. */
  readonly hasGap: boolean;
}

/** What the first events of another engine are to a stream. */
export type Continuation =
  /** They directly follow the last event. */
  | 'next'
  /** The caller has received them already. */
  | 'repeated'
  /** Events are missing before them. */
  | 'after-gap';

/** The progress of one stream. */
export class EventProgress {
  /** The difference between the ids of consecutive events, once known. */
  private step: number | undefined;
  /** Whether no new event has arrived since the last failover. */
  private isAfterFailover = false;

  /** @param last The id of the last event that the caller has received. */
  constructor(private last: number | undefined) {}

  /** The id of the last event sent to the caller. */
  get lastEventId(): number | undefined {
    return this.last;
  }

  /** Records that another engine continues the stream. */
  markFailover(): void {
    this.isAfterFailover = true;
  }

  /** Decides how the first events of another engine continue the stream. */
  decideContinuation(events: readonly ServerSentEvent[]): Continuation {
    const {last} = this;
    for (const {id} of events) {
      if (id !== undefined && last !== undefined && id <= last) continue;
      return this.isBeyondNext(id) ? 'after-gap' : 'next';
    }
    return 'repeated';
  }

  /** Filters events in the order of their arrival. */
  accept(events: readonly ServerSentEvent[]): AcceptedEvents {
    const newEvents: Buffer[] = [];
    for (const {id, bytes} of events) {
      if (id === undefined) {
        newEvents.push(bytes);
        continue;
      }
      const {last} = this;
      if (last !== undefined && id <= last) continue;
      if (this.isGapBefore(id)) return {newEvents, hasGap: true};
      if (last !== undefined && !this.isAfterFailover) this.step = id - last;
      this.isAfterFailover = false;
      this.last = id;
      newEvents.push(bytes);
    }
    return {newEvents, hasGap: false};
  }

  private isGapBefore(id: number): boolean {
    return this.isAfterFailover && this.isBeyondNext(id);
  }

  private isBeyondNext(id: number | undefined): boolean {
    const {last, step} = this;
    if (id === undefined || last === undefined || step === undefined) {
      return false;
    }
    return id > last + step;
  }
}
