/**
 * Assigns each engine to a home group: the group of hosts (`host_group.ts`)
 * that places most streams on it. The hosts of a group report to each other
 * what they run, so each knows the load of the group's engines, and the state
 * that a host keeps does not grow with the number of hosts.
 *
 * The engines of a failure domain are divided among the groups of its hosts. If
 * it has no hosts, they are divided among the groups of its region or, if that
 * has none either, among all groups. All hosts compute the same assignment
 * from the names alone, and adding or removing an engine moves few others.
 */
import {hashText} from './hash.js';
import type {HostGroup} from './host_group.js';
import {SINGLE_REGION, type RegionMap} from './proximity.js';

/** An engine to be assigned, and its failure domain. */
export interface EngineLocation {
  readonly instanceId: string;
  readonly failureDomain: string;
}

/** Computes the home group of each engine, by instance id. */
export function computeHomeGroups(
  groups: readonly HostGroup[],
  engines: readonly EngineLocation[],
  regions: RegionMap = SINGLE_REGION,
): ReadonlyMap<string, HostGroup> {
  const homes = new Map<string, HostGroup>();
  const [firstGroup] = groups;
  if (firstGroup === undefined) return homes;
  if (groups.length === 1) {
    for (const {instanceId} of engines) homes.set(instanceId, firstGroup);
    return homes;
  }
  const byDomain = new Map<string, EngineLocation[]>();
  for (const engine of engines) {
    const local = byDomain.get(engine.failureDomain);
    if (local === undefined) byDomain.set(engine.failureDomain, [engine]);
    else local.push(engine);
  }
  for (const [domain, local] of byDomain) {
    addEvenly(chooseNearestGroups(groups, domain, regions), local, homes);
  }
  return homes;
}

function chooseNearestGroups(
  groups: readonly HostGroup[],
  domain: string,
  regions: RegionMap,
): readonly HostGroup[] {
  const split = regions.splitByProximity(
    groups,
    domain,
    ({failureDomain}) => failureDomain,
  );
  if (split.domain.length > 0) return split.domain;
  return split.region.length > 0 ? split.region : groups;
}

/**
 * Divides engines evenly among groups. In the order of the engines' hashes,
 * each goes to the group with the lowest rendezvous hash that has room.
 */
function addEvenly(
  groups: readonly HostGroup[],
  engines: readonly EngineLocation[],
  homes: Map<string, HostGroup>,
): void {
  const roomByGroup = new Map<string, number>();
  const maxEngines = Math.ceil(engines.length / groups.length);
  for (const {key} of groups) roomByGroup.set(key, maxEngines);
  const sorted = engines.map(({instanceId}) => ({
    instanceId,
    hash: hashText(instanceId),
  }));
  sorted.sort((a, b) => a.hash - b.hash);
  for (const {instanceId} of sorted) {
    const home = findGroupWithRoom(groups, roomByGroup, instanceId);
    if (home === undefined) continue;
    roomByGroup.set(home.key, (roomByGroup.get(home.key) ?? 0) - 1);
    homes.set(instanceId, home);
  }
}

function findGroupWithRoom(
  groups: readonly HostGroup[],
  roomByGroup: ReadonlyMap<string, number>,
  instanceId: string,
): HostGroup | undefined {
  let best: HostGroup | undefined;
  let lowestHash = Infinity;
  for (const group of groups) {
    if ((roomByGroup.get(group.key) ?? 0) <= 0) continue;
    const hash = hashText(`${group.key}/${instanceId}`);
    if (hash >= lowestHash) continue;
    best = group;
    lowestHash = hash;
  }
  return best;
}
