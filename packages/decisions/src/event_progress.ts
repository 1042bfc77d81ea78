/**
 * How far a stream has come at its caller. Events that the caller has are
 * left out; when a second engine goes on, the first event that it brings must
 * be the one that follows, as a missing one could not be made up for.
 */
import type {ServerSentEvent} from './event_splitter.js';

/** What of some events goes to the caller. */
export interface AcceptedEvents {
  readonly newEvents: readonly Buffer[];
  /** Whether events are missing before the first that is not repeated. */
  readonly hasGap: boolean;
}

/** The progress of one stream. */
export class EventProgress {
  /** How much the id rises from event to event, once two are known. */
  private step: number | undefined;
  private isAfterLoss = false;

  /** @param last The id of the last event that the caller has. */
  constructor(private last: number | undefined) {}

  /** The id of the last event that went to the caller. */
  get lastEventId(): number | undefined {
    return this.last;
  }

  /** Takes it that another engine goes on. */
  markFailover(): void {
    this.isAfterLoss = true;
  }

  /** Takes events in the order in which they arrived. */
  accept(events: readonly ServerSentEvent[]): AcceptedEvents {
    const fresh: Buffer[] = [];
    for (const {id, bytes} of events) {
      if (id === undefined) {
        fresh.push(bytes);
        continue;
      }
      const {last} = this;
      if (last !== undefined && id <= last) continue;
      if (this.isGapBefore(id)) return {newEvents: fresh, hasGap: true};
      if (last !== undefined && !this.isAfterLoss) this.step = id - last;
      this.isAfterLoss = false;
      this.last = id;
      fresh.push(bytes);
    }
    return {newEvents: fresh, hasGap: false};
  }

  private isGapBefore(id: number): boolean {
    const {last, step} = this;
    if (!this.isAfterLoss || last === undefined || step === undefined) {
      return false;
    }
    return id > last + step;
  }
}
