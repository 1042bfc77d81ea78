/**
 * Reports between hosts on what each runs on endpoints. The hosts of a group
 * inform each other at once when a stream is placed or ends, and repeat it
 * periodically, as a datagram may be lost. A host that places a stream on an
 * engine whose home is another group informs that group as well.
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

/** What a host runs on endpoints, by instance id. */
export type HostUses = Readonly<Record<string, PeerUsage>>;

/** Lists what this host runs and stores what other hosts run. */
export interface UseRegistry extends EngineList {
  listLocalUses(): HostUses;
  /** Finds what all hosts except the given one run on an engine. */
  findUseExcept(
    instanceId: string,
    host: string,
  ): EndpointUsageReport | undefined;
  applyUses(host: string, uses: HostUses): void;
  /** Records that an engine accepted no connection of another host. */
  applyLoss(instanceId: string): void;
}

/** Sends a datagram to hosts. */
export type SendToHosts = (
  hosts: readonly KnownHost<PeerLocation>[],
  datagram: PeerDatagram,
) => void;

/** What the publisher needs to know of this host. */
export interface UsePublisherOwner {
  readonly name: string;
  readonly incarnation: number;
  readonly clock: Clock;
}

/** How long placed streams are batched, in ms. */
const PLACED_DELAY_MS = 10;
/** How long other changes may be delayed, in ms. */
const CHANGED_DELAY_MS = 100;
/**
 * Heartbeats without a report after which it is repeated; a report is valid for
 * twice as long.
 */
const REPEAT_HEARTBEATS = 3;
/** How often a report that nothing runs any more is repeated. */
const EMPTY_REPEATS = 2;

/** Sends and receives reports on what runs on endpoints. */
export class UsePublisher {
  /** Set by the service that knows the endpoints. */
  registry: UseRegistry | undefined;
  private sequence = 0;
  /** Heartbeats since the last report was sent. */
  private heartbeatsSinceReport = 0;
  private emptyRepeatsLeft = 0;
  /** The instance ids in the last report. */
  private lastReported: readonly string[] = [];
  private timer: NodeJS.Timeout | undefined;
  private plannedAt = Infinity;
  private readonly sequences = new Map<string, readonly [number, number]>();

  constructor(
    private readonly owner: UsePublisherOwner,
    private readonly view: HostView<PeerLocation>,
    private readonly groups: EngineGroups,
    private readonly send: SendToHosts,
  ) {}

  /**
   * Reports at once that this host placed a stream. Until other hosts know,
   * they consider its engine less busy than it is: with reports in the
   * heartbeats only, one stream in eight met another that a host had placed
   * within 0.7 s (of some 180 placements by 6 hosts).
   */
  publishPlaced(): void {
    this.plan(PLACED_DELAY_MS);
  }

  /** Reports with a short delay that a stream ended or its prompt was read. */
  publishChanged(): void {
    this.plan(CHANGED_DELAY_MS);
  }

  /**
   * Informs the hosts that may use an engine that it accepted no connection, so
   * that they need not find out by sends of their own.
   */
  publishLoss(instanceId: string): void {
    this.send(this.listTargets([instanceId]), {kind: 'loss', instanceId});
  }

  /** Handles another host's report that an engine accepted no connection. */
  acceptLoss({instanceId}: EndpointUnreachableDatagram): void {
    this.registry?.applyLoss(instanceId);
  }

  /** Repeats the report if that is due. */
  startHeartbeat(): void {
    this.heartbeatsSinceReport++;
    this.dropLostHosts();
    if (this.heartbeatsSinceReport >= REPEAT_HEARTBEATS) this.sendUses(false);
  }

  /** Handles a report of another host; outdated ones are ignored. */
  accept({name, incarnation, sequence, uses}: UsageDatagram): void {
    const [lastIncarnation, lastSequence] = this.sequences.get(name) ?? [0, 0];
    if (incarnation === lastIncarnation && sequence <= lastSequence) return;
    this.sequences.set(name, [incarnation, sequence]);
    this.registry?.applyUses(name, uses);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private plan(delayMs: number): void {
    const at = this.owner.clock.getNow() + delayMs;
    if (at >= this.plannedAt) return;
    clearTimeout(this.timer);
    this.plannedAt = at;
    this.timer = setTimeout(() => {
      this.plannedAt = Infinity;
      this.sendUses(true);
    }, delayMs);
  }

  private sendUses(hasChanged: boolean): void {
    this.heartbeatsSinceReport = 0;
    const uses = this.registry?.listLocalUses() ?? {};
    const isEmpty = Object.keys(uses).length === 0;
    if (!isEmpty || hasChanged) this.emptyRepeatsLeft = EMPTY_REPEATS;
    else if (this.emptyRepeatsLeft > 0) this.emptyRepeatsLeft--;
    if (isEmpty && this.emptyRepeatsLeft === 0) return;
    const {name, incarnation} = this.owner;
    this.sequence++;
    const {sequence} = this;
    const reported = Object.keys(uses);
    // Hosts that were informed of a stream are informed of its end as well.
    const targets = this.listTargets([...reported, ...this.lastReported]);
    this.lastReported = reported;
    this.send(targets, {kind: 'uses', name, incarnation, sequence, uses});
  }

  /** Lists this host's group and the home groups of the given engines. */
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

  /** Removes the reports of hosts that are not considered alive. */
  private dropLostHosts(): void {
    for (const name of this.sequences.keys()) {
      if (this.view.find(name)?.standing === 'alive') continue;
      this.sequences.delete(name);
      this.registry?.applyUses(name, {});
    }
  }
}
