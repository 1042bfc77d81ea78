/**
 * What hosts tell each other of what they have running. The hosts of a group
 * tell each other at once when a stream is placed or ends, and again every
 * while, as a datagram may be lost.
 */
import {
  createHostGroups,
  type HostView,
  type KnownHost,
} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {
  PeerDatagram,
  PeerPlace,
  PeerUse,
  UsesDatagram,
} from '../model/peer_message.js';

/** What a host has running, by the instance id of the endpoint. */
export type HostUses = Readonly<Record<string, PeerUse>>;

/** Tells what runs here, and takes what runs elsewhere. */
export interface UseBoard {
  listOwnUses(): HostUses;
  applyUses(host: string, uses: HostUses): void;
}

/** What the notices need to know of this host. */
export interface UseNoticesOwner {
  readonly name: string;
  readonly incarnation: number;
  readonly place: PeerPlace;
  readonly clock: Clock;
}

/** Streams that are placed within this time are told of together, in ms. */
const PLACED_DELAY_MS = 10;
/** What else changed may wait so long, in ms. */
const CHANGED_DELAY_MS = 100;
/** Beats after which what runs is told again; what was told counts longer. */
const REPEAT_EVERY = 3;
/** Beats after which it is said again that nothing runs any more. */
const EMPTY_REPEATS = 2;

/** Tells and takes what runs. */
export class UseNotices {
  /** Set by the service that knows what runs. */
  board: UseBoard | undefined;
  private sequence = 0;
  private beats = 0;
  private emptyLeft = 0;
  private timer: NodeJS.Timeout | undefined;
  private timerAt = Infinity;
  private readonly sequences = new Map<string, readonly [number, number]>();

  constructor(
    private readonly owner: UseNoticesOwner,
    private readonly view: HostView<PeerPlace>,
    private readonly send: (
      hosts: readonly KnownHost<PeerPlace>[],
      datagram: PeerDatagram,
    ) => void,
  ) {}

  /**
   * Tells the group at once that a stream was placed here. Until they hear of it
   * they take its engine for less busy than it is: with word in the heartbeats
   * alone, one stream in eight met another that a host had placed within 0.7 s
   * (some 180 placements by 6 hosts, counted from their logs).
   */
  publishPlaced(): void {
    this.plan(PLACED_DELAY_MS);
  }

  /** Tells the group soon that something ended or was read. */
  publishChanged(): void {
    this.plan(CHANGED_DELAY_MS);
  }

  /** Tells again what runs, when that is due. */
  startBeat(): void {
    this.beats++;
    this.dropUnheard();
    if (this.beats % REPEAT_EVERY === 0) this.sendUses(false);
  }

  /** Takes what another host has running. */
  accept({name, incarnation, sequence, uses}: UsesDatagram): void {
    const [life, last] = this.sequences.get(name) ?? [0, 0];
    if (incarnation === life && sequence <= last) return;
    this.sequences.set(name, [incarnation, sequence]);
    this.board?.applyUses(name, uses);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private plan(delayMs: number): void {
    const at = this.owner.clock.getNow() + delayMs;
    if (at >= this.timerAt) return;
    clearTimeout(this.timer);
    this.timerAt = at;
    this.timer = setTimeout(() => {
      this.timerAt = Infinity;
      this.sendUses(true);
    }, delayMs);
  }

  private sendUses(hasChanged: boolean): void {
    const uses = this.board?.listOwnUses() ?? {};
    const isEmpty = Object.keys(uses).length === 0;
    if (!isEmpty || hasChanged) this.emptyLeft = EMPTY_REPEATS;
    else if (this.emptyLeft > 0) this.emptyLeft--;
    if (isEmpty && this.emptyLeft === 0) return;
    const {name, incarnation} = this.owner;
    this.sequence++;
    const {sequence} = this;
    this.send(this.listGroup(), {
      kind: 'uses',
      name,
      incarnation,
      sequence,
      uses,
    });
  }

  /** Lists the other hosts of this host's group. */
  private listGroup(): KnownHost<PeerPlace>[] {
    const alive = this.view.listAlive();
    const {name: own, place: ownPlace} = this.owner;
    const hosts = alive.map(({record, place}) => {
      return {name: record.name, failureDomain: place.failureDomain};
    });
    hosts.push({name: own, failureDomain: ownPlace.failureDomain});
    const group = createHostGroups(hosts).find(({names}) =>
      names.includes(own),
    );
    const names = new Set(group?.names);
    return alive.filter(({record}) => names.has(record.name));
  }

  /** Forgets what was told by hosts that are not believed to be alive. */
  private dropUnheard(): void {
    for (const name of this.sequences.keys()) {
      if (this.view.find(name)?.standing === 'alive') continue;
      this.sequences.delete(name);
      this.board?.applyUses(name, {});
    }
  }
}
