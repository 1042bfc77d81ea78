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
 *
 * Where there are several regions, readers are in different ones, so that each
 * region still has a reader when the links between regions are gone.
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
  /** The host's region; undefined if it is not known or there is only one. */
  readonly region?: string | undefined;
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
  const ranked = candidates.map((candidate) => ({
    name: candidate.name,
    incarnation: candidate.incarnation,
    region: candidate.region,
    faults:
      (candidate.isStoreAway ? STORE_UNAVAILABLE_FAULTS : 0) +
      (candidate.state === 'ready' ? 0 : 1),
    hash: hashText(candidate.name),
  }));
  ranked.sort(
    (a, b) =>
      a.faults - b.faults ||
      a.incarnation - b.incarnation ||
      a.hash - b.hash ||
      (a.name < b.name ? -1 : 1),
  );
  const regions = new Set<string>();
  const best: string[] = [];
  const others: string[] = [];
  for (const {name, region, faults} of ranked) {
    const isBest = region !== undefined && faults === 0 && !regions.has(region);
    if (isBest) regions.add(region);
    (isBest ? best : others).push(name);
  }
  return [...best, ...others].slice(0, count);
}
