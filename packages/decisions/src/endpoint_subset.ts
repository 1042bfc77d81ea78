/**
 * Chooses the endpoints that a host polls and uses. If there are few, a host
 * uses all of them. If there are many, each host uses a stable subset, so that
 * the endpoints that it polls and keeps state of do not grow with the fleet.
 * Subsets are spread evenly over failure domains, so that the loss of a domain
 * removes the same share of every subset. See docs/design/endpoint_subset.md.
 */
import {hashText} from './hash.js';

/** An endpoint that may be in a subset. */
export interface ListedEndpoint {
  readonly address: string;
  readonly failureDomain: string;
}

/** Chooses at most `size` of a service's endpoints for a host. */
export function chooseSubset<E extends ListedEndpoint>(
  hostId: string,
  endpoints: readonly E[],
  size: number,
): E[] {
  if (endpoints.length <= size) return [...endpoints];
  const domains = sortByDomain(hostId, endpoints);
  const chosen: E[] = [];
  for (let round = 0; chosen.length < size; round++) {
    for (const ranked of domains) {
      const endpoint = ranked[round];
      if (endpoint !== undefined && chosen.length < size) chosen.push(endpoint);
    }
  }
  return chosen;
}

/** Groups endpoints by failure domain; sorts both in the host's own order. */
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
  // The order of domains is different for each host as well. Otherwise the
  // first domains would always get the remainder of an uneven split.
  const names = [...byDomain.keys()].sort((a, b) =>
    compareByHash(hostId, a, b),
  );
  return names.map((name) =>
    (byDomain.get(name) ?? []).sort((a, b) =>
      compareByHash(hostId, a.address, b.address),
    ),
  );
}

/** Compares two names by rendezvous hash of the host. */
function compareByHash(hostId: string, a: string, b: string): number {
  const difference = hashText(`${hostId} ${a}`) - hashText(`${hostId} ${b}`);
  return difference !== 0 ? difference : a < b ? -1 : 1;
}
