/**
 * Assigns each engine to a home group: the group of hosts (`host_group.ts`)
 * that places most streams on it. The hosts of a group report to each other
 * what they run, so each knows the load of the group's engines, and the state
 * that a host keeps does not grow with the number of hosts.
 *
 * The engines of a failure domain are divided among the groups of its hosts, or
 * among all groups if it has no hosts. All hosts compute the same assignment
 * from the names alone, and adding or removing an engine moves few others.
 */
import {hashText} from './hash.js';
import type {HostGroup} from './host_group.js';

/** An engine to be assigned, and its failure domain. */
export interface EngineLocation {
  readonly instanceId: string;
  readonly failureDomain: string;
}

/** Computes the home group of each engine, by instance id. */
export function computeHomeGroups(
  groups: readonly HostGroup[],
  engines: readonly EngineLocation[],
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
    const domainGroups = groups.filter(
      ({failureDomain}) => failureDomain === domain,
    );
    addEvenly(domainGroups.length > 0 ? domainGroups : groups, local, homes);
  }
  return homes;
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
