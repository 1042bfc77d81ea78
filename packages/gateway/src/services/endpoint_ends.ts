/**
 * When a leaving endpoint ends: as its entry says, or for a service whose
 * endpoints are drained on order, some time after the announcement. Endpoints of
 * other services run until their requests are over.
 */
import {isDeepStrictEqual} from 'node:util';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import type {EndpointRecord} from '../serving/endpoint_record.js';

/**
 * The time from the announcement of an endpoint that leaves on an order to its
 * end, in ms; its entry does not name it.
 */
const ORDERED_DRAIN_MS = 3000;
/**
 * The time until the end of an endpoint of which only an answer tells that it is
 * leaving, in ms. Some of its time has passed by then, and its entry may come
 * late when the store is slow.
 */
const ANSWERED_END_MS = 1500;

/**
 * Records the end of an endpoint, if it is leaving and its end is known.
 *
 * @param entry The entry as it was read; undefined if only an answer of the
 *     endpoint tells that it is leaving.
 * @param isScaled Whether the endpoints of a service are drained on order.
 */
export function recordAnnouncedEnd(
  record: EndpointRecord,
  entry: EndpointEntry | undefined,
  isScaled: (service: string) => boolean,
): void {
  if (record.entry.state !== 'leaving') return;
  if (entry?.leavesMs !== undefined) record.recordEnd(entry.leavesMs);
  if (record.endsAt !== undefined || !isScaled(record.entry.service)) return;
  record.recordEnd(entry === undefined ? ANSWERED_END_MS : ORDERED_DRAIN_MS);
}

/**
 * Whether an entry differs at most in the time until its end. That time counts
 * down in the entries of a leaving endpoint, and nothing else follows from it.
 */
export function isSameButEnd(
  before: EndpointEntry,
  after: EndpointEntry,
): boolean {
  if (after.leavesMs === undefined || before.leavesMs === undefined) {
    return false;
  }
  return isDeepStrictEqual({...before, leavesMs: after.leavesMs}, after);
}
