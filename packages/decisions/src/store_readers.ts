/**
 * Which hosts follow the store for all. Each call to the store costs, and
 * changes reach the other hosts by datagrams, so a few hosts read and the
 * rest listen. All hosts find the same few from the names alone; a host that
 * the store turns away says so, and the next in the order takes its place.
 */
import {hashText} from './hash.js';

/** A host that may read the store. */
export interface ReaderCandidate {
  readonly name: string;
  /** Whether its last calls failed, a moment ago. */
  readonly isStoreAway: boolean;
}

/**
 * Chooses the hosts that read. Those that the store turns away are taken only
 * when there are not enough others: somebody has to notice its return.
 */
export function chooseStoreReaders(
  candidates: readonly ReaderCandidate[],
  count: number,
): string[] {
  const placed = candidates.map(({name, isStoreAway}) => ({
    name,
    isStoreAway,
    place: hashText(name),
  }));
  placed.sort((a, b) => {
    if (a.isStoreAway !== b.isStoreAway) return a.isStoreAway ? 1 : -1;
    return a.place - b.place || (a.name < b.name ? -1 : 1);
  });
  return placed.slice(0, count).map(({name}) => name);
}
