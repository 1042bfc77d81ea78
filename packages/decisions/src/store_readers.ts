/**
 * Chooses the few hosts that read changes from the store for all. Calls to the
 * store are costly, so the other hosts receive changes by datagrams instead.
 * All hosts derive the same choice from the host records. A host whose calls to
 * the store fail reports this in its record, and the next one in order replaces
 * it.
 *
 * Hosts that have run longest come first. In an order by name alone, a starting
 * host could displace a reader, so many of the hosts that start one after
 * another would read for a while.
 */
import {hashText} from './hash.js';
import type {HostState} from './host_record.js';

/** A host whose calls to the store fail ranks below one that is not ready. */
const STORE_UNAVAILABLE_FAULTS = 2;

/** A host that may read the store. */
export interface ReaderCandidate {
  readonly name: string;
  /** Higher for a host that started later. */
  readonly incarnation: number;
  readonly state: HostState;
  /** Whether its latest calls to the store failed. */
  readonly isStoreAway: boolean;
}

/**
 * Chooses the hosts that read. Hosts whose calls to the store fail, that have
 * no replica yet, or that are about to stop are chosen only if there are not
 * enough others: some host has to notice when the store is back, and a starting
 * host would displace a reader while it can't read for others yet.
 */
export function chooseStoreReaders(
  candidates: readonly ReaderCandidate[],
  count: number,
): string[] {
  const ranked = candidates.map(({name, incarnation, state, isStoreAway}) => ({
    name,
    incarnation,
    faults:
      (isStoreAway ? STORE_UNAVAILABLE_FAULTS : 0) +
      (state === 'ready' ? 0 : 1),
    hash: hashText(name),
  }));
  ranked.sort(
    (a, b) =>
      a.faults - b.faults ||
      a.incarnation - b.incarnation ||
      a.hash - b.hash ||
      (a.name < b.name ? -1 : 1),
  );
  return ranked.slice(0, count).map(({name}) => name);
}
