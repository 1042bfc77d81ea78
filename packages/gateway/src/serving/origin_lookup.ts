/**
 * Looks up the origin of a begun stream: at live hosts, and in the store if
 * these don't know the stream and its version may be in doubt.
 */
import {
  listMatchingOrigins,
  type OriginKey,
  type OriginRecord,
} from '@irisdock/decisions';
import type {StoredOrigins} from '../services/origin_reader.js';
import type {AdmittedRequest} from './caller_exchange.js';
import {hashStreamId} from './request_content.js';

/** What a lookup of an origin found, and whom it asked. */
export interface OriginLookup {
  readonly records: readonly OriginRecord[];
  /** The number of other hosts that were asked. */
  readonly hostsAsked: number;
  /** The number of those that answered before the lookup ended. */
  readonly hostsAnswered: number;
}

/** Reports and looks up origins among all hosts. */
export interface StreamOrigins {
  /**
   * Keeps an origin and reports it to the hosts that also keep it.
   *
   * @returns A function to call when this host no longer runs the stream.
   */
  publish(record: OriginRecord): () => void;
  /**
   * Looks an origin up at the hosts that keep it.
   *
   * @param isThorough Whether to ask hosts at random if none of these knows it,
   *     or if the key names no stream.
   */
  find(key: OriginKey, isThorough: boolean): Promise<OriginLookup>;
  /** Looks an origin up in the store, for a bounded time. */
  findStored(key: OriginKey): Promise<StoredOrigins>;
}

/** What is known of the origin of a begun stream. */
export interface KnownOrigins {
  readonly lookup: OriginLookup;
  /** The records of live hosts that tell of the stream. */
  readonly recorded: readonly OriginRecord[];
  /** Undefined if the store was not asked. */
  readonly stored: StoredOrigins | undefined;
}

/** Lists the records of an origin, those of live hosts first. */
export function listOriginRecords({
  recorded,
  stored,
}: KnownOrigins): OriginRecord[] {
  return [...recorded, ...(stored?.records ?? [])];
}

/**
 * Creates the key by which the origin of a begun stream is looked up.
 *
 * @param firstRequestId The attempt that brought its first event, if known.
 * @param now The current time on the monotonic clock, in ms.
 */
export function createOriginKey(
  {team, content, callerDeadline}: AdmittedRequest,
  firstRequestId: string | undefined,
  now: number,
): OriginKey {
  const isNamed = firstRequestId !== undefined;
  const streamId = isNamed ? hashStreamId(team, firstRequestId) : undefined;
  const hasDeadline = Number.isFinite(callerDeadline);
  const remainingMs = hasDeadline ? callerDeadline - now : undefined;
  return {streamId, content, remainingMs};
}

/**
 * Looks an origin up.
 *
 * @param isCertain Whether the stream can have only one origin: the store and
 *     hosts at random are not asked then.
 */
export async function findOrigins(
  origins: StreamOrigins,
  key: OriginKey,
  isCertain: boolean,
): Promise<KnownOrigins> {
  const lookup = await origins.find(key, !isCertain);
  const recorded = listMatchingOrigins(key, lookup.records);
  // Streams of the same content that lost hosts began may contradict those
  // that live hosts know.
  const isFound = key.streamId !== undefined && recorded.length > 0;
  const isDone = isCertain || isFound;
  const stored = isDone ? undefined : await origins.findStored(key);
  return {lookup, recorded, stored};
}
