/**
 * Splits the bytes of a stream of server-sent events into complete events. An
 * engine may fail in the middle of an event; incomplete events are not passed
 * on.
 */

import {ByteCollector} from '@irisdock/kernel';

/** A complete server-sent event. */
export interface ServerSentEvent {
  /** Undefined if the event has no numeric id. */
  readonly id: number | undefined;
  /** The event as received, including the empty line at its end. */
  readonly bytes: Buffer;
}

/** The ends of an event, for LF and for CRLF line endings. */
const SEPARATORS = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')];
/** The ends of an event in bytes without carriage returns. */
const LF_SEPARATORS = SEPARATORS.slice(0, 1);
const MAX_SEPARATOR_LENGTH = 4;
const ID_LINE = /^id: ?(\d{1,15})\r?$/m;
const ID_PREFIX = Buffer.from('id: ');
/** Maximum length of an id. */
const MAX_DIGITS = 15;
const ZERO = 0x30;
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
  const id = readLeadingId(bytes) ?? findId(bytes);
  return {id, bytes};
}

/** Reads the id of an event that begins with it, as most events do. */
function readLeadingId(bytes: Buffer): number | undefined {
  for (let index = 0; index < ID_PREFIX.length; index++) {
    if (bytes[index] !== ID_PREFIX[index]) return undefined;
  }
  let id = 0;
  const last = ID_PREFIX.length + MAX_DIGITS;
  for (let index = ID_PREFIX.length; index <= last; index++) {
    const digit = (bytes[index] ?? 0) - ZERO;
    const isDigit = digit >= 0 && digit <= 9;
    if (isDigit && index < last) {
      id = id * 10 + digit;
      continue;
    }
    const isLineEnd = bytes[index] === LINE_FEED;
    return isLineEnd && index > ID_PREFIX.length ? id : undefined;
  }
  return undefined;
}

/** Finds the id of an event wherever its line is. */
function findId(bytes: Buffer): number | undefined {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return id === undefined ? undefined : Number(id);
}
