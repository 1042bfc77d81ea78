/**
 * Cuts the bytes of an event stream into whole events. An engine may die in
 * the middle of an event; what is not whole is never passed on.
 */

/** A whole event with the bytes that it came in. */
export interface ServerSentEvent {
  /** Undefined when the event has no numeric id. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

/** Two line ends in a row, as each of the usual line ends has them. */
const SEPARATORS = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')];
/** Enough for bytes that hold no carriage return. */
const PLAIN_SEPARATORS = SEPARATORS.slice(0, 1);
const ID_LINE = /^id: ?(\d{1,15})\r?$/m;
const ID_PREFIX = Buffer.from('id: ');
const MAX_DIGITS = 15;
const ZERO = 0x30;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Cuts bytes into events. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes that are no whole event yet. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Takes bytes as they arrive; gives the events that became whole. */
  add(bytes: Buffer): ServerSentEvent[] {
    const all =
      this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const isPlain = !all.includes(CARRIAGE_RETURN);
    const separators = isPlain ? PLAIN_SEPARATORS : SEPARATORS;
    const events: ServerSentEvent[] = [];
    let from = 0;
    for (;;) {
      const end = findEventEnd(all, from, separators);
      if (end === undefined) break;
      events.push(createEvent(all.subarray(from, end)));
      from = end;
    }
    this.rest = all.subarray(from);
    return events;
  }
}

function findEventEnd(
  bytes: Buffer,
  from: number,
  separators: readonly Buffer[],
): number | undefined {
  let end: number | undefined;
  for (const separator of separators) {
    const at = bytes.indexOf(separator, from);
    if (at === -1) continue;
    end = Math.min(end ?? Infinity, at + separator.length);
  }
  return end;
}

function createEvent(bytes: Buffer): ServerSentEvent {
  const id = readLeadingId(bytes) ?? findId(bytes);
  return {id, bytes};
}

/** Reads the id of an event that begins with it, as most do, byte by byte. */
function readLeadingId(bytes: Buffer): number | undefined {
  for (let at = 0; at < ID_PREFIX.length; at++) {
    if (bytes[at] !== ID_PREFIX[at]) return undefined;
  }
  let id = 0;
  const last = ID_PREFIX.length + MAX_DIGITS;
  for (let at = ID_PREFIX.length; at <= last; at++) {
    const digit = (bytes[at] ?? 0) - ZERO;
    const isDigit = digit >= 0 && digit <= 9;
    if (isDigit && at < last) {
      id = id * 10 + digit;
      continue;
    }
    const isLineEnd = bytes[at] === LINE_FEED;
    return isLineEnd && at > ID_PREFIX.length ? id : undefined;
  }
  return undefined;
}

/** Finds the id of any event. */
function findId(bytes: Buffer): number | undefined {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return id === undefined ? undefined : Number(id);
}
