/**
 * Ids of the events of a stream, as the engine wrote them. The form of an id is
 * up to the engine: whole numbers of any length can be ordered, ids of any other
 * form can only be compared for equality.
 */

/**
 * The id of an event. It can be sent in the header that says where a stream
 * resumes.
 */
export type EventId = string;

/** The maximum length of an id in bytes. */
export const MAX_EVENT_ID_LENGTH = 256;

const WHOLE_NUMBER = /^\d+$/;
/** Visible characters, with blanks between them only: a header value. */
const HEADER_VALUE =
  /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

/** Parses the value of an `id` field; undefined if no header can name it. */
export function parseEventId(text: string): EventId | undefined {
  if (text.length > MAX_EVENT_ID_LENGTH) return undefined;
  return HEADER_VALUE.test(text) ? text : undefined;
}

/**
 * Compares two ids of one stream.
 *
 * @returns A negative number if the first one precedes the second one, 0 if they
 *     name the same event, a positive number if it follows; undefined if their
 *     order is not known.
 */
export function compareEventIds(
  first: EventId,
  second: EventId,
): number | undefined {
  if (first === second) return 0;
  if (!WHOLE_NUMBER.test(first) || !WHOLE_NUMBER.test(second)) return undefined;
  const a = dropLeadingZeros(first);
  const b = dropLeadingZeros(second);
  if (a === b) return 0;
  if (a.length !== b.length) return a.length - b.length;
  return a < b ? -1 : 1;
}

/**
 * Computes the distance from one id to another; undefined unless both are whole
 * numbers.
 */
export function computeEventDistance(
  from: EventId,
  to: EventId,
): bigint | undefined {
  if (!WHOLE_NUMBER.test(from) || !WHOLE_NUMBER.test(to)) return undefined;
  return BigInt(to) - BigInt(from);
}

function dropLeadingZeros(digits: string): string {
  return digits.replace(/^0+/, '');
}
