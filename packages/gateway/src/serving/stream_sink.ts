/**
 * Writes the answer of a stream to its caller: the head of the attempt that
 * brings the first event, then each event once and in order, whatever attempt
 * it comes from.
 */
import {
  EventProgress,
  type Continuation,
  type EventId,
  type ServerSentEvent,
} from '@irisdock/decisions';
import type {KnownError} from '@irisdock/kernel';
import {MAX_BODY_BYTES} from '../channels/body_reader.js';
import type {HeaderLines} from '../model/request_metadata.js';
import type {CallerExchange} from './caller_exchange.js';

/** The result of passing events on. */
export interface PassResult {
  /** Why nothing that follows can be passed on; undefined if it can. */
  readonly fault: string | undefined;
  /** Resolves when the caller can take more; undefined if it can now. */
  readonly drained: Promise<void> | undefined;
}

/**
 * The most bytes of events in a row that the caller has already. An engine may
 * repeat a whole answer before it goes on, which is not longer than a body.
 */
const MAX_REPEATED_BYTES = MAX_BODY_BYTES;

/** Writes one stream to its caller. */
export class StreamSink {
  private readonly progress: EventProgress;
  private head: {status: number; lines: HeaderLines} | undefined;
  private hasStarted = false;
  /** The bytes of the repeated events since the last new one. */
  private repeatedBytes = 0;

  /** @param lastEventId The last event that the caller has already. */
  constructor(
    private readonly exchange: CallerExchange,
    lastEventId: EventId | undefined,
  ) {
    this.progress = new EventProgress(lastEventId);
  }

  /** The last event with an id that the caller has, if there is one. */
  get lastEventId(): EventId | undefined {
    return this.progress.lastEventId;
  }

  /** Whether another attempt can continue the stream without a gap. */
  get isResumable(): boolean {
    return this.progress.isResumable;
  }

  /** Whether the caller has received part of the answer. */
  get isStarted(): boolean {
    return this.hasStarted;
  }

  /** Sets status and headers of the answer, unless it has started. */
  setHead(status: number, lines: HeaderLines): void {
    if (!this.hasStarted) this.head = {status, lines};
  }

  /** Records that the next events come from another attempt. */
  markFailover(): void {
    this.progress.markFailover();
    this.repeatedBytes = 0;
  }

  /** Sets the event after which the stream's current attempt was to resume. */
  setResumedAfter(lastEventId: EventId | undefined): void {
    this.progress.setResumedAfter(lastEventId);
  }

  /**
   * Decides how the first events of another attempt continue the stream.
   *
   * @param resumedAfter The event after which that attempt was to resume.
   */
  decideContinuation(
    events: readonly ServerSentEvent[],
    resumedAfter: EventId | undefined,
  ): Continuation {
    return this.progress.decideContinuation(events, resumedAfter);
  }

  /** Passes the events that the caller lacks. */
  passEvents(events: readonly ServerSentEvent[]): PassResult {
    const {newEvents, hasGap} = this.progress.accept(events);
    const [first] = newEvents;
    const gapFault = hasGap ? 'events are missing' : undefined;
    if (first === undefined) {
      const fault = gapFault ?? this.checkRepeated(events);
      return {fault, drained: undefined};
    }
    this.repeatedBytes = 0;
    if (!this.hasStarted) this.start();
    const bytes = newEvents.length === 1 ? first : Buffer.concat(newEvents);
    const hasRoom = this.exchange.writeStream(bytes);
    const drained = hasRoom ? undefined : this.exchange.waitForDrain();
    return {fault: gapFault, drained};
  }

  /** Ends the stream as complete. */
  end(): void {
    if (!this.hasStarted) this.start();
    this.exchange.endStream();
  }

  /** Ends a started stream as incomplete; refuses the request otherwise. */
  fail(error: KnownError): void {
    if (this.hasStarted) this.exchange.failStream();
    else this.exchange.refuse(error);
  }

  private checkRepeated(
    events: readonly ServerSentEvent[],
  ): string | undefined {
    for (const {bytes} of events) this.repeatedBytes += bytes.length;
    if (this.repeatedBytes <= MAX_REPEATED_BYTES) return undefined;
    return 'its events bring nothing new';
  }

  private start(): void {
    if (this.head === undefined) return;
    this.hasStarted = true;
    this.exchange.startStream(this.head.status, this.head.lines);
  }
}
