/**
 * Identifies which streams go to which services, so that hosts can tell whether
 * the routes of streams have changed. Weights do not count: a service with any
 * share of a route may have begun its streams.
 */
import type {ServingRoute} from './serving_configuration.js';
import {hashToHex} from './text_digest.js';

/** What of a route decides where a stream may begin. */
export type StreamRoute = Pick<
  ServingRoute,
  'hostName' | 'kind' | 'pathPrefix' | 'shares'
>;

/**
 * Formats the routing of streams.
 *
 * @returns The service, if all streams go to one, as routes do not matter then;
 *   else a digest of the routes; empty without routes of streams.
 */
export function formatStreamRouting(routes: readonly StreamRoute[]): string {
  const services = new Set<string>();
  const lines: string[] = [];
  for (const {kind, hostName, pathPrefix, shares} of routes) {
    if (kind !== 'stream') continue;
    const names = [...new Set(shares.map(({service}) => service))].sort();
    for (const name of names) services.add(name);
    lines.push(JSON.stringify([hostName, pathPrefix, names]));
  }
  const [only = '', ...others] = services;
  if (others.length === 0) return only;
  return hashToHex(lines.sort().join('\n'));
}
