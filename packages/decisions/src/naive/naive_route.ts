/** The route of a request by looking at every route. */
import type {RouteKey} from '../route_table.js';

/** Finds the route with the longest prefix, one route after the other. */
export function findRouteNaively<R extends RouteKey>(
  routes: readonly R[],
  hostName: string,
  path: string,
): R | undefined {
  let best: R | undefined;
  for (const route of routes) {
    if (route.hostName !== hostName) continue;
    if (!path.startsWith(route.pathPrefix)) continue;
    const length = best?.pathPrefix.length ?? -1;
    // Of two routes at the same place the later one holds.
    if (route.pathPrefix.length >= length) best = route;
  }
  return best;
}
