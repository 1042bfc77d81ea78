/**
 * Which hosts tell each other at once what they have running. Where hosts are
 * few it is all of them. Where they are many, the hosts of a failure domain
 * form groups that all hosts find alike from the names alone, so that what a
 * host sends, hears and keeps does not grow with the number of hosts.
 */
import {hashText} from './hash.js';

/** A host that may be in a group. */
export interface HostLocation {
  readonly name: string;
  readonly failureDomain: string;
}

/** Hosts of one failure domain that work together. */
export interface HostGroup {
  /** The same on all hosts that know the same hosts. */
  readonly key: string;
  readonly failureDomain: string;
  readonly names: readonly string[];
}

/** Up to this many hosts are one group, whatever their failure domains. */
const ONE_GROUP_UP_TO = 17;
/** The most hosts of a group otherwise. */
const GROUP_SIZE = 8;

/** Forms the groups. */
export function createHostGroups(hosts: readonly HostLocation[]): HostGroup[] {
  if (hosts.length <= ONE_GROUP_UP_TO) {
    const names = hosts.map(({name}) => name).sort();
    return [{key: 'all', failureDomain: '', names}];
  }
  const byDomain = new Map<string, string[]>();
  for (const {name, failureDomain} of hosts) {
    const names = byDomain.get(failureDomain);
    if (names === undefined) byDomain.set(failureDomain, [name]);
    else names.push(name);
  }
  const groups: HostGroup[] = [];
  for (const [failureDomain, names] of byDomain) {
    groups.push(...splitDomain(failureDomain, names));
  }
  return groups.sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** Splits a domain's hosts into groups of sizes that differ by one at most. */
function splitDomain(
  failureDomain: string,
  names: readonly string[],
): HostGroup[] {
  const sorted = names.map((name) => ({name, place: hashText(name)}));
  sorted.sort((a, b) => a.place - b.place || (a.name < b.name ? -1 : 1));
  const count = Math.ceil(names.length / GROUP_SIZE);
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
