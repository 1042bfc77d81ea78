/**
 * Decides from which host to load the whole list of hosts, when the records of
 * other hosts have differed from the own ones for several messages in a row. A
 * list has 50 KB with 195 hosts, so it is loaded from another region only if no
 * host of the own region has the same records. Messages of the own region and
 * of others are counted apart: most come from the own region, so where its
 * hosts agree, a difference from other regions would never last.
 */
import type {HostPosition, KnownHost} from '@irisdock/decisions';
import type {PeerLocation} from '../model/peer_message.js';

/**
 * The number of consecutive messages with differing host records after which
 * the full host list is loaded. A few are tolerated, as one host may lag
 * behind.
 */
const MAX_DIFFS = 8;

/** A message of another host, compared with what this host knows. */
export interface ComparedMessage {
  readonly sender: KnownHost<PeerLocation>;
  /** The hash of the sender's records. */
  readonly recordsHash: number;
  readonly ownRecordsHash: number;
}

/** Counts messages whose sender has other records. */
export class RecordDifferences {
  /** Consecutive differing messages from the own region and from others. */
  private nearCount = 0;
  private farCount = 0;
  /** The last hash of each host of the own region, where there are several. */
  private readonly nearHashes = new Map<string, number>();

  constructor(private readonly position: HostPosition) {}

  /**
   * Counts a message; returns the address to load the list from, if it is time.
   *
   * @param listAlive Lists the other hosts that are considered alive.
   */
  accept(
    message: ComparedMessage,
    listAlive: () => readonly KnownHost<PeerLocation>[],
  ): string | undefined {
    const {sender, recordsHash, ownRecordsHash} = message;
    const isNear = this.position.isNear(sender.place.failureDomain);
    const isSame = recordsHash === ownRecordsHash;
    if (isNear) {
      this.nearCount = isSame ? 0 : this.nearCount + 1;
      this.recordHash(sender.record.name, recordsHash);
      return this.nearCount < MAX_DIFFS ? undefined : sender.place.tables;
    }
    this.farCount = isSame ? 0 : this.farCount + 1;
    if (this.farCount < MAX_DIFFS) return undefined;
    return this.chooseSource(message, listAlive());
  }

  /** Drops what is known of a host that was removed. */
  drop(name: string): void {
    this.nearHashes.delete(name);
  }

  private recordHash(name: string, hash: number): void {
    if (this.position.hasSeveralRegions) this.nearHashes.set(name, hash);
  }

  private chooseSource(
    {sender, recordsHash}: ComparedMessage,
    alive: readonly KnownHost<PeerLocation>[],
  ): string | undefined {
    const near = alive.filter(({place}) =>
      this.position.isNear(place.failureDomain),
    );
    // A host that had the records of the sender has the same or newer ones now.
    const informed = near.find(
      ({record}) => this.nearHashes.get(record.name) === recordsHash,
    );
    if (informed !== undefined) return informed.place.tables;
    // While hosts of the region differ too, one of them may have the records.
    const isRegionSettled = near.length === 0 || this.nearCount === 0;
    return isRegionSettled ? sender.place.tables : undefined;
  }
}
