/**
 * Which hosts follow the store for all. Each call to the store costs, and
 * changes reach the other hosts by datagrams, so a few hosts read and the
 * rest listen. All hosts find the same few from the records of hosts; a host that
 * the store turns away says so, and the next in the order takes its place.
 *
 * The hosts that run for longest go first. By an order of the names alone a host
 * that starts displaces a reader, so of hosts that start one after another many
 * read for a while.
 */
import {hashText} from './hash.js';
import type {HostState} from './host_record.js';

/** A host that the store turns away is worse than one that has no copy yet. */
const AWAY_FAULTS = 2;

/** A host that may read the store. */
export interface ReaderCandidate {
  readonly name: string;
  /** Higher for a host that started later. */
  readonly incarnation: number;
  readonly state: HostState;
  /** Whether its last calls failed, a moment ago. */
  readonly isStoreAway: boolean;
}

/**
 * Chooses the hosts that read. Those that the store turns away, those that have
 * no copy yet and those that are about to stop are taken only when there are not
 * enough others: somebody has to notice the store's return, and a host that
 * starts would take the place of one that reads while it reads nothing itself.
 */
export function chooseStoreReaders(
  candidates: readonly ReaderCandidate[],
  count: number,
): string[] {
  const placed = candidates.map(({name, incarnation, state, isStoreAway}) => ({
    name,
    incarnation,
    faults: (isStoreAway ? AWAY_FAULTS : 0) + (state === 'ready' ? 0 : 1),
    place: hashText(name),
  }));
  placed.sort(
    (a, b) =>
      a.faults - b.faults ||
      a.incarnation - b.incarnation ||
      a.place - b.place ||
      (a.name < b.name ? -1 : 1),
  );
  return placed.slice(0, count).map(({name}) => name);
}
