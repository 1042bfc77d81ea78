/**
 * Which hosts place most streams on an engine. The engines of a failure domain
 * are shared out among the groups of its hosts, so that whoever places a stream
 * on one of its group's engines knows what the group has running there, and
 * what a host keeps does not grow with the number of hosts. All hosts find the
 * same homes from the names alone; an engine that comes or goes moves few
 * others. Where a domain has no hosts its engines go to the groups of others.
 */
import {hashText} from './hash.js';
import type {HostGroup} from './host_group.js';

/** An engine that is to get a home. */
export interface EngineLocation {
  readonly instanceId: string;
  readonly failureDomain: string;
}

/** Gives the home group of each engine, by its instance id. */
export function computeHomeGroups(
  groups: readonly HostGroup[],
  engines: readonly EngineLocation[],
): ReadonlyMap<string, HostGroup> {
  const homes = new Map<string, HostGroup>();
  const [only] = groups;
  if (only === undefined) return homes;
  if (groups.length === 1) {
    for (const {instanceId} of engines) homes.set(instanceId, only);
    return homes;
  }
  const byDomain = new Map<string, EngineLocation[]>();
  for (const engine of engines) {
    const near = byDomain.get(engine.failureDomain);
    if (near === undefined) byDomain.set(engine.failureDomain, [engine]);
    else near.push(engine);
  }
  for (const [domain, near] of byDomain) {
    const own = groups.filter(({failureDomain}) => failureDomain === domain);
    addShared(own.length > 0 ? own : groups, near, homes);
  }
  return homes;
}

/** Shares engines out evenly, each to the first group by a hash with room. */
function addShared(
  groups: readonly HostGroup[],
  engines: readonly EngineLocation[],
  homes: Map<string, HostGroup>,
): void {
  const room = new Map<string, number>();
  const most = Math.ceil(engines.length / groups.length);
  for (const {key} of groups) room.set(key, most);
  const sorted = engines.map(({instanceId}) => ({
    instanceId,
    place: hashText(instanceId),
  }));
  sorted.sort((a, b) => a.place - b.place);
  for (const {instanceId} of sorted) {
    const home = findFirstWithRoom(groups, room, instanceId);
    if (home === undefined) continue;
    room.set(home.key, (room.get(home.key) ?? 0) - 1);
    homes.set(instanceId, home);
  }
}

function findFirstWithRoom(
  groups: readonly HostGroup[],
  room: ReadonlyMap<string, number>,
  instanceId: string,
): HostGroup | undefined {
  let first: HostGroup | undefined;
  let firstPlace = Infinity;
  for (const group of groups) {
    if ((room.get(group.key) ?? 0) <= 0) continue;
    const place = hashText(`${group.key}/${instanceId}`);
    if (place >= firstPlace) continue;
    first = group;
    firstPlace = place;
  }
  return first;
}
