/**
 * Cuts the bytes of an event stream into whole events. An engine may die in
 * the middle of an event; what is not whole is never passed on.
 */

/** A whole event with the bytes that it came in. */
export interface WholeEvent {
  /** Undefined when the event has no numeric id. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

/** Two line ends in a row, as each of the usual line ends has them. */
const SEPARATORS = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')];
const ID_LINE = /^id: ?(\d{1,15})\r?$/m;

/** Cuts bytes into events. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes that are no whole event yet. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Takes bytes as they arrive; gives the events that became whole. */
  add(bytes: Buffer): WholeEvent[] {
    const all =
      this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const events: WholeEvent[] = [];
    let from = 0;
    for (;;) {
      const end = findEventEnd(all, from);
      if (end === undefined) break;
      events.push(createEvent(all.subarray(from, end)));
      from = end;
    }
    this.rest = all.subarray(from);
    return events;
  }
}

function findEventEnd(bytes: Buffer, from: number): number | undefined {
  let end: number | undefined;
  for (const separator of SEPARATORS) {
    const at = bytes.indexOf(separator, from);
    if (at === -1) continue;
    end = Math.min(end ?? Infinity, at + separator.length);
  }
  return end;
}

function createEvent(bytes: Buffer): WholeEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return {id: id === undefined ? undefined : Number(id), bytes};
}
