/** Reference implementation for `route_table.ts`: looks at every route. */
import type {RouteKey} from '../route_table.js';

/** Finds the route with the longest matching prefix, by a linear search. */
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
    // Of two routes with the same prefix, the later one is used.
    if (route.pathPrefix.length >= length) best = route;
  }
  return best;
}
