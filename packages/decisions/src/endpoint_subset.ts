/**
 * Which endpoints a host looks after. With few endpoints a host uses all of
 * them; with many, each host takes a stable subset, so that what a host polls
 * and remembers does not grow with the fleet: docs/design/endpoint_subset.md.
 * The subset is spread over failure domains, so that a lost domain takes the
 * same part of every host's subset.
 */
import {hashText} from './hash.js';

/** An endpoint as the host list names it. */
export interface ListedEndpoint {
  readonly address: string;
  readonly failureDomain: string;
}

/** Gives at most `size` of a service's endpoints for a host. */
export function chooseSubset<E extends ListedEndpoint>(
  hostId: string,
  endpoints: readonly E[],
  size: number,
): E[] {
  if (endpoints.length <= size) return [...endpoints];
  const ranked = sortByDomain(hostId, endpoints);
  const chosen: E[] = [];
  for (let round = 0; chosen.length < size; round++) {
    for (const domain of ranked) {
      const endpoint = domain[round];
      if (endpoint !== undefined && chosen.length < size) chosen.push(endpoint);
    }
  }
  return chosen;
}

function sortByDomain<E extends ListedEndpoint>(
  hostId: string,
  endpoints: readonly E[],
): E[][] {
  const byDomain = new Map<string, E[]>();
  for (const endpoint of endpoints) {
    const list = byDomain.get(endpoint.failureDomain) ?? [];
    byDomain.set(endpoint.failureDomain, list);
    list.push(endpoint);
  }
  // The order of domains differs from host to host too, or the first domains
  // would get every host's odd endpoint.
  const names = [...byDomain.keys()].sort((a, b) => compare(hostId, a, b));
  return names.map((name) =>
    (byDomain.get(name) ?? []).sort((a, b) =>
      compare(hostId, a.address, b.address),
    ),
  );
}

function compare(hostId: string, a: string, b: string): number {
  const difference = hashText(`${hostId} ${a}`) - hashText(`${hostId} ${b}`);
  return difference !== 0 ? difference : a < b ? -1 : 1;
}
