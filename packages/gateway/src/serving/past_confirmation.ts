/**
 * Looks up the origin of a stream together with what the past leaves possible.
 * If nobody knows the origin and only one candidate is possible, this host's
 * replicas alone would decide: a host that was just cut off still takes them for
 * current, and other hosts for alive. So the store confirms the past first.
 */
import type {OriginKey} from '@irisdock/decisions';
import {
  findOrigins,
  listOriginRecords,
  type KnownOrigins,
  type StreamOrigins,
} from './origin_lookup.js';
import type {VersionHistory} from './version_history.js';

/** Dependencies of the lookup. */
export interface ConfirmedLookupParts {
  readonly origins: StreamOrigins;
  readonly versions: Pick<VersionHistory, 'tryConfirm'>;
}

/** What is known of an origin, and what may have begun the stream. */
export interface ConfirmedOrigins {
  readonly known: KnownOrigins;
  /** Undefined if the past is not known or was not confirmed. */
  readonly possible: readonly string[] | undefined;
}

/**
 * Looks an origin up.
 *
 * @param createKey Creates the key of a lookup that starts now.
 * @param listPossible Lists the versions, or services, that may have begun the
 *     stream, as far as this host knows; undefined if the past is not known.
 */
export async function findConfirmedOrigins(
  {origins, versions}: ConfirmedLookupParts,
  createKey: () => OriginKey,
  listPossible: () => readonly string[] | undefined,
): Promise<ConfirmedOrigins> {
  const isCertain = (): boolean => listPossible()?.length === 1;
  const known = await findOrigins(origins, createKey(), isCertain());
  // The past may have become known meanwhile.
  if (listOriginRecords(known).length > 0 || !isCertain()) {
    return {known, possible: listPossible()};
  }
  // Answers of other hosts prove nothing here: the host that began the stream
  // and those that it reported to may be out of reach, and not be asked.
  const isConfirmed = await versions.tryConfirm();
  if (!isConfirmed) return {known, possible: undefined};
  if (isCertain()) return {known, possible: listPossible()};
  // Another candidate has become known, and hosts that know the origin.
  const found = await findOrigins(origins, createKey(), false);
  return {known: found, possible: listPossible()};
}
