/**
 * Which group this host belongs to, and which hosts are the home of an engine,
 * by the hosts that are alive and the engines that are known. Worked out anew
 * only when one of the two has changed.
 */
import {
  computeHomeGroups,
  createHostGroups,
  type HostGroup,
  type HostView,
  type EngineLocation,
  type KnownHost,
} from '@irisdock/decisions';
import {getShuffled, type Random} from '@irisdock/kernel';
import type {PeerLocation} from '../model/peer_message.js';

/** The engines that are known here. */
export interface EngineList {
  /** Differs whenever the engines do. */
  readonly version: number;
  listEngines(): readonly EngineLocation[];
}

interface Homes {
  readonly recordsHash: number;
  readonly version: number;
  readonly groups: readonly HostGroup[];
  readonly group: HostGroup | undefined;
  readonly homes: ReadonlyMap<string, HostGroup>;
}

/** Hosts of a group that get what is for all of it; one may be lost. */
const RELAYS = 2;

const NO_ENGINES: EngineList = {version: -1, listEngines: () => []};

/** Groups of hosts and the engines that they are the home of. */
export class EngineGroups {
  /** Set by the service that knows the engines. */
  engines: EngineList = NO_ENGINES;
  private known: Homes | undefined;

  constructor(
    private readonly ownName: string,
    private readonly ownPlace: PeerLocation,
    private readonly view: HostView<PeerLocation>,
    private readonly random: Random,
  ) {}

  /** Lists the other hosts of this host's group. */
  listGroup(): KnownHost<PeerLocation>[] {
    return this.listHosts(this.getHomes().group);
  }

  /** Lists a few hosts of each other group, drawn at random. */
  listRelays(): KnownHost<PeerLocation>[] {
    const {groups, group: own} = this.getHomes();
    const relays: KnownHost<PeerLocation>[] = [];
    for (const group of groups) {
      if (group === own) continue;
      const hosts = getShuffled(this.listHosts(group), this.random);
      relays.push(...hosts.slice(0, RELAYS));
    }
    return relays;
  }

  /** Whether this host's group is the home of an engine. */
  isHome(instanceId: string): boolean {
    const {group, homes} = this.getHomes();
    return group !== undefined && homes.get(instanceId) === group;
  }

  /** Lists the other hosts of the group that is the home of an engine. */
  listHomeHosts(instanceId: string): KnownHost<PeerLocation>[] {
    return this.listHosts(this.getHomes().homes.get(instanceId));
  }

  private listHosts(group: HostGroup | undefined): KnownHost<PeerLocation>[] {
    const hosts: KnownHost<PeerLocation>[] = [];
    for (const name of group?.names ?? []) {
      const host = this.view.find(name);
      if (host !== undefined) hosts.push(host);
    }
    return hosts;
  }

  private getHomes(): Homes {
    const {recordsHash} = this.view;
    const {version} = this.engines;
    const {known} = this;
    if (known?.recordsHash === recordsHash && known.version === version) {
      return known;
    }
    const {failureDomain} = this.ownPlace;
    const hosts = [{name: this.ownName, failureDomain}];
    for (const {record, place} of this.view.listAlive()) {
      hosts.push({name: record.name, failureDomain: place.failureDomain});
    }
    const groups = createHostGroups(hosts);
    const group = groups.find(({names}) => names.includes(this.ownName));
    const homes = computeHomeGroups(groups, this.engines.listEngines());
    this.known = {recordsHash, version, groups, group, homes};
    return this.known;
  }
}
