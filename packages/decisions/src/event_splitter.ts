/**
 * Splits the bytes of a stream of server-sent events into complete events. An
 * engine may fail in the middle of an event; incomplete events are not passed
 * on.
 */

import {ByteCollector} from '@irisdock/kernel';
import {MAX_EVENT_ID_LENGTH, parseEventId, type EventId} from './event_id.js';

/** A complete server-sent event. */
export interface ServerSentEvent {
  /** Undefined if the event has no id after which a stream can resume. */
  readonly id: EventId | undefined;
  /**
   * Whether the event has neither data nor an id, such as a comment. The
   * position in the stream is the same before and after it.
   */
  readonly isEmpty: boolean;
  /** The event as received, including the empty line at its end. */
  readonly bytes: Buffer;
}

/** The ends of an event, for LF and for CRLF line endings. */
const SEPARATORS = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')];
/** The ends of an event in bytes without carriage returns. */
const LF_SEPARATORS = SEPARATORS.slice(0, 1);
const MAX_SEPARATOR_LENGTH = 4;
const LINE_END = /\r\n|\n|\r/;
/** A field of an event; the blank after the colon is not part of its value. */
const FIELD = /^([^:]+)(?:: ?(.*))?$/;
const BYTE_ORDER_MARK = /^\xef\xbb\xbf/;
const ID_PREFIX = Buffer.from('id: ');
const NEXT_ID_LINE = Buffer.from('\nid');
const ZERO = 0x30;
const NINE = 0x39;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Splits bytes into events. */
export class EventSplitter {
  /** The bytes of an incomplete event. */
  private readonly rest = new ByteCollector();
  /** Whether those bytes contain a carriage return. */
  private hasReturn = false;

  /** The number of bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** The bytes of memory that an incomplete event takes. */
  get pendingCapacity(): number {
    return this.rest.capacity;
  }

  /** Adds received bytes; returns the events that they complete. */
  add(bytes: Buffer): ServerSentEvent[] {
    // An end may begin in the bytes before; further back there is none.
    const from = Math.max(0, this.rest.length - MAX_SEPARATOR_LENGTH + 1);
    const hasRest = this.rest.length > 0;
    if (hasRest) this.rest.add(bytes);
    const all = hasRest ? this.rest.getBytes() : bytes;
    this.hasReturn ||= bytes.includes(CARRIAGE_RETURN);
    const separators = this.hasReturn ? SEPARATORS : LF_SEPARATORS;
    const events: ServerSentEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(all, Math.max(start, from), separators);
      if (end === undefined) break;
      events.push(createEvent(all.subarray(start, end)));
      start = end;
    }
    if (start > 0 || !hasRest) this.setRest(all.subarray(start));
    return events;
  }

  private setRest(bytes: Buffer): void {
    this.rest.drop();
    if (bytes.length > 0) this.rest.add(bytes);
    this.hasReturn &&= bytes.includes(CARRIAGE_RETURN);
  }
}

function findEventEnd(
  bytes: Buffer,
  start: number,
  separators: readonly Buffer[],
): number | undefined {
  let end: number | undefined;
  for (const separator of separators) {
    const index = bytes.indexOf(separator, start);
    if (index === -1) continue;
    end = Math.min(end ?? Infinity, index + separator.length);
  }
  return end;
}

function createEvent(bytes: Buffer): ServerSentEvent {
  const leadingId = readLeadingId(bytes);
  if (leadingId !== undefined) return {id: leadingId, isEmpty: false, bytes};
  return parseEvent(bytes);
}

/**
 * Reads the id of an event that begins with its only id, a whole number, as most
 * events do.
 */
function readLeadingId(bytes: Buffer): EventId | undefined {
  const start = ID_PREFIX.length;
  if (!bytes.subarray(0, start).equals(ID_PREFIX)) return undefined;
  let end = start;
  while (isDigit(bytes[end])) end++;
  const length = end - start;
  const isId = length > 0 && length <= MAX_EVENT_ID_LENGTH;
  if (!isId || bytes[end] !== LINE_FEED) return undefined;
  if (bytes.includes(NEXT_ID_LINE, end)) return undefined;
  return bytes.toString('latin1', start, end);
}

function isDigit(byte = 0): boolean {
  return byte >= ZERO && byte <= NINE;
}

/** Parses the fields of an event. If several are ids, the last one counts. */
function parseEvent(bytes: Buffer): ServerSentEvent {
  let id: EventId | undefined;
  let isEmpty = true;
  const text = bytes.toString('latin1').replace(BYTE_ORDER_MARK, '');
  for (const line of text.split(LINE_END)) {
    const [, name, value = ''] = FIELD.exec(line) ?? [];
    if (name === 'id') id = parseEventId(value);
    if (name === 'id' || name === 'data') isEmpty = false;
  }
  return {id, isEmpty, bytes};
}
