/**
 * Whom a host sends its datagrams to: in a small deployment to all others, in
 * a large one to a few drawn at random, which pass on what they know; places
 * that were named but not heard are tried for a while.
 */
import {
  chooseHeartbeatTargets,
  type HeardHosts,
  type TargetCounts,
} from '@irisdock/decisions';
import {getShuffled, type Random} from '@irisdock/kernel';
import type {PeerMessage, PeerPlace} from '../model/peer_message.js';

/** Up to this many others, each gets every datagram. */
export const ALL_UP_TO = 16;
/**
 * How many get a datagram where not all do; with 40 digests in each, a host of
 * 72 hears of each other one some 14 times before silence counts.
 */
const SENT_TO: TargetCounts = {near: 4, far: 2};
/** Beats between two tries of hosts that went silent. */
const SILENT_EVERY = 5;
/** How often a place that was named is tried before it is dropped. */
const MAX_TRIES = 20;

/** The places. */
export class PeerPlaces {
  /** Places that were named but not heard, with the tries left. */
  private readonly unheard = new Map<string, number>();

  constructor(
    private readonly own: PeerPlace,
    private readonly heard: HeardHosts<PeerMessage>,
    private readonly random: Random,
  ) {}

  /** Takes a place that was told of; known ones are left out. */
  add(datagrams: string): void {
    if (datagrams === this.own.datagrams || this.unheard.has(datagrams)) return;
    const known = this.heard.listKnown();
    if (known.some(({place}) => place.datagrams === datagrams)) return;
    this.unheard.set(datagrams, MAX_TRIES);
  }

  /** Takes it that a place was heard. */
  drop(datagrams: string): void {
    this.unheard.delete(datagrams);
  }

  /** Lists where the datagram of a beat goes. */
  listTargets(now: number, sequence: number): string[] {
    const targets = this.listHeardTargets(now);
    if (sequence % SILENT_EVERY === 1) {
      const heard = this.heard.listHeard(now);
      for (const message of this.heard.listKnown()) {
        if (!heard.includes(message)) targets.push(message.place.datagrams);
      }
    }
    return [...targets, ...this.takeUnheard()];
  }

  /** Lists where word goes that only hosts of which this one hears need. */
  listHeardTargets(now: number): string[] {
    const heard = this.heard.listHeard(now);
    const places = heard.map(({place}) => place);
    const chosen =
      places.length <= ALL_UP_TO
        ? places
        : chooseHeartbeatTargets(
            getShuffled(places, this.random),
            this.own.failureDomain,
            SENT_TO,
          );
    return chosen.map(({datagrams}) => datagrams);
  }

  /** Gives the places to be tried now; each only so many times. */
  private takeUnheard(): string[] {
    const places: string[] = [];
    for (const [place, tries] of this.unheard) {
      places.push(place);
      if (tries <= 1) this.unheard.delete(place);
      else this.unheard.set(place, tries - 1);
    }
    return places;
  }
}
