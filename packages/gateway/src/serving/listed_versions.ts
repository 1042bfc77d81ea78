/** The software versions that the known endpoints of a service have. */
import type {EndpointRecord} from './endpoint_record.js';
import {getSoftwareVersion} from './version_binding.js';

/** Lists the versions of a service among some endpoints, each one once. */
export function listEndpointVersions(
  endpoints: Iterable<EndpointRecord>,
  service: string,
): string[] {
  const versions = new Set<string>();
  for (const endpoint of endpoints) {
    if (endpoint.entry.service !== service) continue;
    versions.add(getSoftwareVersion(endpoint));
  }
  return [...versions];
}
