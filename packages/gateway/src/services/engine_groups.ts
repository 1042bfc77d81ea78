/**
 * Computes the group of this host and the home group of each engine from the
 * live hosts and the known engines. The hosts of an engine's home group are
 * informed of all that runs on it. The result is cached until the hosts or
 * engines change.
 */
import {
  computeHomeGroups,
  createHostGroups,
  getHostSample,
  type HostGroup,
  type HostPosition,
  type HostView,
  type EngineLocation,
  type KnownHost,
} from '@irisdock/decisions';
import {getShuffled, type Random} from '@irisdock/kernel';
import type {PeerLocation} from '../model/peer_message.js';

/** The known engines. */
export interface EngineList {
  /** Changes whenever the engines do. */
  readonly version: number;
  listEngines(): readonly EngineLocation[];
}

interface HomeGroups {
  readonly recordsHash: number;
  readonly version: number;
  readonly groups: readonly HostGroup[];
  readonly group: HostGroup | undefined;
  readonly homes: ReadonlyMap<string, HostGroup>;
}

type HostsByDomain = Map<string, KnownHost<PeerLocation>[]>;

/** Hosts per group that relay a datagram within it; two, as one may be lost. */
const RELAYS_PER_GROUP = 2;

/** Hosts per other region that relay a datagram within it. */
const RELAYS_PER_REGION = 2;

const NO_ENGINES: EngineList = {version: -1, listEngines: () => []};

/** Keeps the groups of hosts and the home group of each engine. */
export class EngineGroups {
  /** Set by the service that knows the engines. */
  engines: EngineList = NO_ENGINES;
  private cached: HomeGroups | undefined;

  constructor(
    private readonly ownName: string,
    private readonly ownPlace: PeerLocation,
    private readonly view: HostView<PeerLocation>,
    private readonly random: Random,
    private readonly position: HostPosition,
  ) {}

  /** Lists the other hosts in this host's group. */
  listGroup(): KnownHost<PeerLocation>[] {
    return this.listHosts(this.getHomeGroups().group);
  }

  /**
   * Lists a few hosts of each other group of this host's region, chosen at
   * random.
   */
  listRelays(): KnownHost<PeerLocation>[] {
    const {groups, group: own} = this.getHomeGroups();
    const relays: KnownHost<PeerLocation>[] = [];
    for (const group of groups) {
      if (group === own || !this.isNear(group)) continue;
      const hosts = this.listHosts(group);
      relays.push(...getHostSample(hosts, RELAYS_PER_GROUP, this.random));
    }
    return relays;
  }

  /**
   * Lists a few hosts of each other region, chosen at random and from different
   * failure domains, as all hosts of a domain may be lost at once.
   */
  listRegionRelays(): KnownHost<PeerLocation>[] {
    const relays: KnownHost<PeerLocation>[] = [];
    for (const hostsByDomain of this.listFarHosts().values()) {
      const domains = getShuffled([...hostsByDomain.values()], this.random);
      const count = Math.ceil(RELAYS_PER_REGION / domains.length);
      for (const hosts of domains.slice(0, RELAYS_PER_REGION)) {
        relays.push(...getHostSample(hosts, count, this.random));
      }
    }
    return relays;
  }

  /** Lists the hosts of each other region, by region and failure domain. */
  private listFarHosts(): ReadonlyMap<string, HostsByDomain> {
    const regions = new Map<string, HostsByDomain>();
    const {groups} = this.getHomeGroups();
    const far = groups.filter((group) => !this.isNear(group));
    for (const host of far.flatMap((group) => this.listHosts(group))) {
      const {failureDomain} = host.place;
      const region = this.position.regions.find(failureDomain);
      const key = region ?? `domain ${failureDomain}`;
      const hostsByDomain =
        regions.get(key) ?? new Map<string, KnownHost<PeerLocation>[]>();
      regions.set(key, hostsByDomain);
      const hosts = hostsByDomain.get(failureDomain);
      if (hosts === undefined) hostsByDomain.set(failureDomain, [host]);
      else hosts.push(host);
    }
    return regions;
  }

  /** A single group of all hosts is near, wherever they are. */
  private isNear({failureDomain}: HostGroup): boolean {
    return failureDomain === '' || this.position.isNear(failureDomain);
  }

  /** Whether this host's group is the home group of an engine. */
  isHome(instanceId: string): boolean {
    const {group, homes} = this.getHomeGroups();
    return group !== undefined && homes.get(instanceId) === group;
  }

  /** Lists the other hosts in the home group of an engine. */
  listHomeHosts(instanceId: string): KnownHost<PeerLocation>[] {
    return this.listHosts(this.getHomeGroups().homes.get(instanceId));
  }

  private listHosts(group: HostGroup | undefined): KnownHost<PeerLocation>[] {
    const hosts: KnownHost<PeerLocation>[] = [];
    for (const name of group?.names ?? []) {
      const host = this.view.find(name);
      if (host !== undefined) hosts.push(host);
    }
    return hosts;
  }

  private getHomeGroups(): HomeGroups {
    const {recordsHash} = this.view;
    const {version} = this.engines;
    const {cached} = this;
    if (cached?.recordsHash === recordsHash && cached.version === version) {
      return cached;
    }
    const {failureDomain} = this.ownPlace;
    const hosts = [{name: this.ownName, failureDomain}];
    for (const {record, place} of this.view.listAlive()) {
      hosts.push({name: record.name, failureDomain: place.failureDomain});
    }
    const {regions} = this.position;
    const groups = createHostGroups(hosts, regions);
    const group = groups.find(({names}) => names.includes(this.ownName));
    const homes = computeHomeGroups(
      groups,
      this.engines.listEngines(),
      regions,
    );
    this.cached = {recordsHash, version, groups, group, homes};
    return this.cached;
  }
}
