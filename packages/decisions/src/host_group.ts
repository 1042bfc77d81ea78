/**
 * Divides hosts into groups. The hosts of a group report to each other at once
 * which requests they run. A small deployment forms a single group, or one in
 * each region, as bytes between regions are costly. In a larger one, the hosts
 * of each failure domain form groups of bounded size, so that what a host
 * sends, receives and keeps does not grow with the number of hosts. All hosts
 * compute the same groups from the host names alone.
 */
import {hashText} from './hash.js';
import {SINGLE_REGION, type RegionMap} from './proximity.js';

/** A host to be put into a group, and its failure domain. */
export interface HostLocation {
  readonly name: string;
  readonly failureDomain: string;
}

/** Hosts that report to each other which requests they run. */
export interface HostGroup {
  /** Equal on all hosts that know the same hosts. */
  readonly key: string;
  /**
   * Empty for a single group of all hosts; the first by name for the hosts of a
   * region.
   */
  readonly failureDomain: string;
  /** The names of the hosts. */
  readonly names: readonly string[];
}

/** Up to this many hosts form one group a region, whatever their domains. */
const SINGLE_GROUP_HOSTS = 17;
/** The maximum number of hosts in a group otherwise. */
const MAX_GROUP_HOSTS = 8;

/** Divides hosts into groups. */
export function createHostGroups(
  hosts: readonly HostLocation[],
  regions: RegionMap = SINGLE_REGION,
): HostGroup[] {
  if (hosts.length <= SINGLE_GROUP_HOSTS) {
    if (regions.hasSeveral) return createRegionGroups(hosts, regions);
    const names = hosts.map(({name}) => name).sort();
    return [{key: 'all', failureDomain: '', names}];
  }
  const namesByDomain = new Map<string, string[]>();
  for (const {name, failureDomain} of hosts) {
    const names = namesByDomain.get(failureDomain);
    if (names === undefined) namesByDomain.set(failureDomain, [name]);
    else names.push(name);
  }
  const groups: HostGroup[] = [];
  for (const [failureDomain, names] of namesByDomain) {
    groups.push(...splitDomain(failureDomain, names));
  }
  return groups.sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** Creates a group of the hosts of each region; a domain without one is alone. */
function createRegionGroups(
  hosts: readonly HostLocation[],
  regions: RegionMap,
): HostGroup[] {
  const sorted = [...hosts].sort(
    (a, b) =>
      compareTexts(a.failureDomain, b.failureDomain) ||
      compareTexts(a.name, b.name),
  );
  const groups = new Map<string, {failureDomain: string; names: string[]}>();
  for (const {name, failureDomain} of sorted) {
    const region = regions.find(failureDomain);
    const key = region === undefined ? `in ${failureDomain}` : `of ${region}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, {failureDomain, names: [name]});
    else group.names.push(name);
  }
  return [...groups].map(([key, group]) => ({key, ...group}));
}

function compareTexts(one: string, other: string): number {
  if (one === other) return 0;
  return one < other ? -1 : 1;
}

/** Splits the hosts of a domain into groups whose sizes differ by at most 1. */
function splitDomain(
  failureDomain: string,
  names: readonly string[],
): HostGroup[] {
  const sorted = names.map((name) => ({name, hash: hashText(name)}));
  sorted.sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1));
  const count = Math.ceil(names.length / MAX_GROUP_HOSTS);
  const groups: HostGroup[] = [];
  for (let index = 0; index < count; index++) {
    const from = Math.floor((index * sorted.length) / count);
    const to = Math.floor(((index + 1) * sorted.length) / count);
    groups.push({
      key: `${failureDomain}/${index}`,
      failureDomain,
      names: sorted.slice(from, to).map(({name}) => name),
    });
  }
  return groups;
}
