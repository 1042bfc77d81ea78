/**
 * Tracks which events of a stream the caller has received. Events that it has
 * already are filtered out. After a failover the first new event of the next
 * engine must directly follow the last one, as a missing event could not be
 * sent later. A stream can resume only after an event with an id: once the
 * caller has received data without one, no other engine can continue the
 * stream until an event with an id follows.
 */
import {
  compareEventIds,
  computeEventDistance,
  type EventId,
} from './event_id.js';
import type {ServerSentEvent} from './event_splitter.js';

/** The result of filtering received events. */
export interface AcceptedEvents {
  /** The events to send to the caller. */
  readonly newEvents: readonly Buffer[];
  /**
   * Whether the next event after a failover does not follow the last one, or
   * may not.
   */
  readonly hasGap: boolean;
}

/** What the first events of another engine are to a stream. */
export type Continuation =
  /** They directly follow the last event. */
  | 'next'
  /** The caller has received them already, or they are empty. */
  | 'repeated'
  /** Events are missing before them, or may be. */
  | 'after-gap';

/** The progress of one stream. */
export class EventProgress {
  /** Two consecutive events of one engine, once known. */
  private consecutive: readonly [EventId, EventId] | undefined;
  /** Whether no new event has arrived since the last failover. */
  private isAfterFailover = false;
  /** Whether the last event that the caller has received has an id. */
  private hasPosition = true;
  /** The event after which the current attempt was to resume. */
  private resumedAfter: EventId | undefined;

  /** @param last The id of the last event that the caller has received. */
  constructor(private last: EventId | undefined) {}

  /** The id of the last event with one that was sent to the caller. */
  get lastEventId(): EventId | undefined {
    return this.last;
  }

  /**
   * Whether another engine can continue the stream: the caller has received no
   * data, or the last event has an id.
   */
  get isResumable(): boolean {
    return this.hasPosition;
  }

  /** Records that another engine continues the stream. */
  markFailover(): void {
    this.isAfterFailover = true;
  }

  /**
   * Sets the event after which the attempt whose events follow was to resume;
   * undefined if it was sent before the first event.
   */
  setResumedAfter(lastEventId: EventId | undefined): void {
    this.resumedAfter = lastEventId;
  }

  /**
   * Decides how the first events of another engine continue the stream.
   *
   * @param resumedAfter The event after which that engine was to resume.
   */
  decideContinuation(
    events: readonly ServerSentEvent[],
    resumedAfter: EventId | undefined,
  ): Continuation {
    for (const event of events) {
      if (event.isEmpty) continue;
      const continuation = this.decideNext(event, resumedAfter);
      if (continuation !== 'repeated') return continuation;
    }
    return 'repeated';
  }

  /** Filters events in the order of their arrival. */
  accept(events: readonly ServerSentEvent[]): AcceptedEvents {
    const newEvents: Buffer[] = [];
    for (const event of events) {
      const {id, isEmpty, bytes} = event;
      if (isEmpty) {
        newEvents.push(bytes);
        continue;
      }
      const continuation = this.isAfterFailover
        ? this.decideNext(event, this.resumedAfter)
        : this.decideOwnNext(id);
      if (continuation === 'repeated') continue;
      if (continuation === 'after-gap') return {newEvents, hasGap: true};
      this.recordNew(id);
      newEvents.push(bytes);
    }
    return {newEvents, hasGap: false};
  }

  private recordNew(id: EventId | undefined): void {
    const {last} = this;
    const wasAfterId = this.hasPosition && !this.isAfterFailover;
    this.isAfterFailover = false;
    this.hasPosition = id !== undefined;
    if (id === undefined) return;
    if (last !== undefined && wasAfterId) this.consecutive = [last, id];
    this.last = id;
  }

  /** Decides how the next event of the same engine continues the stream. */
  private decideOwnNext(id: EventId | undefined): Continuation {
    const {last} = this;
    if (id === undefined || last === undefined) return 'next';
    const order = compareEventIds(id, last);
    return order !== undefined && order <= 0 ? 'repeated' : 'next';
  }

  /** Decides how an event of another engine continues the stream. */
  private decideNext(
    {id}: ServerSentEvent,
    resumedAfter: EventId | undefined,
  ): Continuation {
    const {last, hasPosition} = this;
    if (!hasPosition) return 'after-gap';
    if (last === undefined) return 'next';
    if (id === undefined) return 'after-gap';
    const order = compareEventIds(id, last);
    if (order === undefined) {
      return resumedAfter === last ? 'next' : 'after-gap';
    }
    if (order <= 0) return 'repeated';
    return this.isBeyondNext(last, id) ? 'after-gap' : 'next';
  }

  private isBeyondNext(last: EventId, id: EventId): boolean {
    if (this.consecutive === undefined) return false;
    const step = computeEventDistance(...this.consecutive);
    const distance = computeEventDistance(last, id);
    if (step === undefined || distance === undefined) return false;
    return distance > step;
  }
}
