/**
 * When a leaving endpoint ends: as its entry says, or for a service whose
 * endpoints are drained on order, some time after the announcement. Endpoints of
 * other services run until their requests are over.
 */
import {isDeepStrictEqual} from 'node:util';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import type {EndpointRecord} from '../serving/endpoint_record.js';

/**
 * The share of the drain that is left to an endpoint of which only an answer
 * tells that it is leaving. Some of its time has passed by then, and its entry
 * may come late when the store is slow.
 */
const ANSWERED_SHARE = 0.5;

/**
 * How long before the end of its drain the last request is sent to an endpoint,
 * in ms: the time on the link, and in the buffers of the sockets.
 */
const SEND_MARGIN_MS = 150;

/** Which endpoints end without saying when, and after which time. */
export interface DrainParts {
  /** Whether the endpoints of a service are ordered and drained on order. */
  readonly isScaled: (service: string) => boolean;
  /**
   * How long an endpoint serves on after the store took that it is leaving, in
   * ms.
   */
  readonly drainMs: number;
}

/**
 * Records the end of an endpoint, if it is leaving and its end is known.
 *
 * @param entry The entry as it was read; undefined if only an answer of the
 *     endpoint tells that it is leaving.
 */
export function recordAnnouncedEnd(
  record: EndpointRecord,
  entry: EndpointEntry | undefined,
  {isScaled, drainMs}: DrainParts,
): void {
  if (record.entry.state !== 'leaving') return;
  if (entry?.leavesMs !== undefined) record.recordEnd(entry.leavesMs);
  if (record.endsAt !== undefined || !isScaled(record.entry.service)) return;
  // The entry of an endpoint that leaves on an order does not name the time.
  record.recordEnd(entry === undefined ? drainMs * ANSWERED_SHARE : drainMs);
}

/**
 * Computes until when a leaving endpoint may get requests, in ms of the clock.
 *
 * @param readyAt When it was still ready by a read of the store: the store took
 *     the change later. -Infinity if that is not known.
 */
export function computeDrainEnd(
  readyAt: number,
  {drainMs}: Pick<DrainParts, 'drainMs'>,
): number {
  return readyAt + drainMs - SEND_MARGIN_MS;
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
