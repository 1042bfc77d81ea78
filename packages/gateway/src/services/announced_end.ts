/** Records when endpoints that announced their end will be gone. */
import {isDeepStrictEqual} from 'node:util';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import type {EndpointRecord} from '../serving/endpoint_record.js';

/**
 * The time from the announcement of an endpoint that leaves on an order to its
 * end, in ms; its entry does not name it.
 */
const ORDERED_DRAIN_MS = 3000;

/**
 * Records when a leaving endpoint ends, if its entry or its service says so.
 *
 * @param isScaled Whether its service's endpoints are drained on order.
 */
export function recordAnnouncedEnd(
  record: EndpointRecord,
  {leavesMs}: EndpointEntry,
  isScaled: boolean,
): void {
  if (leavesMs !== undefined) record.recordEnd(leavesMs);
  if (record.endsAt !== undefined || !isScaled) return;
  record.recordEnd(ORDERED_DRAIN_MS);
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
