/**
 * Finds the route of a request: the longest matching path prefix among the
 * routes for its host name. Prefixes end with a slash, so the cost is one
 * lookup per slash in the path, regardless of the number of routes.
 */

/** The key of a route. */
export interface RouteKey {
  readonly hostName: string;
  readonly pathPrefix: string;
}

/** Routes by host name and path prefix. */
export class RouteTable<R extends RouteKey> {
  private readonly hosts = new Map<string, Map<string, R>>();

  constructor(routes: Iterable<R>) {
    for (const route of routes) {
      const hostName = route.hostName.toLowerCase();
      const prefixes = this.hosts.get(hostName) ?? new Map<string, R>();
      prefixes.set(route.pathPrefix, route);
      this.hosts.set(hostName, prefixes);
    }
  }

  /**
   * Finds the route of a request.
   *
   * @param hostHeader The host header of the request, with or without a port.
   * @param path The path of the request, with or without a query.
   */
  find(hostHeader: string, path: string): R | undefined {
    const prefixes = this.hosts.get(getHostName(hostHeader));
    if (prefixes === undefined) return undefined;
    const end = path.indexOf('?');
    let rest = end === -1 ? path : path.slice(0, end);
    for (;;) {
      const slash = rest.lastIndexOf('/');
      if (slash === -1) return undefined;
      const route = prefixes.get(rest.slice(0, slash + 1));
      if (route !== undefined) return route;
      rest = rest.slice(0, slash);
    }
  }
}

function getHostName(hostLine: string): string {
  const colon = hostLine.lastIndexOf(':');
  const name = colon === -1 ? hostLine : hostLine.slice(0, colon);
  return name.toLowerCase();
}
