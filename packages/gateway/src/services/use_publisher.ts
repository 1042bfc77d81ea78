/**
 * What hosts tell each other of what they have running. The hosts of a group
 * tell each other at once when a stream is placed or ends, and again every
 * while, as a datagram may be lost. Who places a stream on an engine that is at
 * home in another group tells that group as well.
 */
import type {HostView, KnownHost} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {
  EndpointUnreachableDatagram,
  PeerDatagram,
  PeerLocation,
  PeerUsage,
  EndpointUsageReport,
  UsageDatagram,
} from '../model/peer_message.js';
import type {EngineGroups, EngineList} from './engine_groups.js';

/** What a host has running, by the instance id of the endpoint. */
export type HostUses = Readonly<Record<string, PeerUsage>>;

/** Tells what runs here, and takes what runs elsewhere. */
export interface UseRegistry extends EngineList {
  listLocalUses(): HostUses;
  /** Finds what runs on an engine but for what one host has there. */
  findUseExcept(
    instanceId: string,
    host: string,
  ): EndpointUsageReport | undefined;
  applyUses(host: string, uses: HostUses): void;
  /** Takes it that an engine took no connection of another host. */
  applyLoss(instanceId: string): void;
}

/** Sends a datagram to hosts. */
export type SendToHosts = (
  hosts: readonly KnownHost<PeerLocation>[],
  datagram: PeerDatagram,
) => void;

/** What the notices need to know of this host. */
export interface UsePublisherOwner {
  readonly name: string;
  readonly incarnation: number;
  readonly clock: Clock;
}

/** Streams that are placed within this time are told of together, in ms. */
const PLACED_DELAY_MS = 10;
/** What else changed may wait so long, in ms. */
const CHANGED_DELAY_MS = 100;
/**
 * Beats after which what runs is told again unless it was told since; what was
 * told counts twice as long.
 */
const REPEAT_AFTER = 3;
/** Beats after which it is said again that nothing runs any more. */
const EMPTY_REPEATS = 2;

/** Tells and takes what runs. */
export class UsePublisher {
  /** Set by the service that knows what runs. */
  registry: UseRegistry | undefined;
  private sequence = 0;
  /** Beats since what runs was told last. */
  private quietBeats = 0;
  private emptyLeft = 0;
  /** The engines that were told of last. */
  private toldLast: readonly string[] = [];
  private timer: NodeJS.Timeout | undefined;
  private timerAt = Infinity;
  private readonly sequences = new Map<string, readonly [number, number]>();

  constructor(
    private readonly owner: UsePublisherOwner,
    private readonly view: HostView<PeerLocation>,
    private readonly groups: EngineGroups,
    private readonly send: SendToHosts,
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

  /**
   * Tells who would use an engine next that it took no connection, so that not
   * each of them has to find it out by a send of its own.
   */
  publishLoss(instanceId: string): void {
    this.send(this.listTargets([instanceId]), {kind: 'loss', instanceId});
  }

  /** Takes it that an engine took no connection of another host. */
  acceptLoss({instanceId}: EndpointUnreachableDatagram): void {
    this.registry?.applyLoss(instanceId);
  }

  /** Tells again what runs, when that is due. */
  startHeartbeat(): void {
    this.quietBeats++;
    this.dropUnheard();
    if (this.quietBeats >= REPEAT_AFTER) this.sendUses(false);
  }

  /** Takes what another host has running. */
  accept({name, incarnation, sequence, uses}: UsageDatagram): void {
    const [life, last] = this.sequences.get(name) ?? [0, 0];
    if (incarnation === life && sequence <= last) return;
    this.sequences.set(name, [incarnation, sequence]);
    this.registry?.applyUses(name, uses);
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
    this.quietBeats = 0;
    const uses = this.registry?.listLocalUses() ?? {};
    const isEmpty = Object.keys(uses).length === 0;
    if (!isEmpty || hasChanged) this.emptyLeft = EMPTY_REPEATS;
    else if (this.emptyLeft > 0) this.emptyLeft--;
    if (isEmpty && this.emptyLeft === 0) return;
    const {name, incarnation} = this.owner;
    this.sequence++;
    const {sequence} = this;
    const told = Object.keys(uses);
    // Who was told of a stream before is told of its end as well.
    const targets = this.listTargets([...told, ...this.toldLast]);
    this.toldLast = told;
    this.send(targets, {kind: 'uses', name, incarnation, sequence, uses});
  }

  /** Lists the own group, and the homes of engines that it is not home of. */
  private listTargets(
    instanceIds: Iterable<string>,
  ): KnownHost<PeerLocation>[] {
    const hosts = new Set(this.groups.listGroup());
    for (const instanceId of instanceIds) {
      if (this.groups.isHome(instanceId)) continue;
      for (const host of this.groups.listHomeHosts(instanceId)) hosts.add(host);
    }
    return [...hosts];
  }

  /** Forgets what was told by hosts that are not believed to be alive. */
  private dropUnheard(): void {
    for (const name of this.sequences.keys()) {
      if (this.view.find(name)?.standing === 'alive') continue;
      this.sequences.delete(name);
      this.registry?.applyUses(name, {});
    }
  }
}
