/**
 * Lists the endpoints of a service that may get requests. The entry of an
 * endpoint that exited stays until its lease expires, and another process may
 * have its address by then.
 */
import type {EndpointRecord} from './endpoint_record.js';
import type {ServingParts} from './serving_parts.js';
import {isOfOrigin, type StreamOrigin} from './version_binding.js';

/** Dependencies of the lists. */
type LiveEndpointsParts = Pick<ServingParts, 'crashes' | 'endpoints'>;

/**
 * Lists the usable endpoints of a service except those that are known to have
 * crashed; if no other is left, includes them, as a report may be wrong.
 */
export function listLiveEndpoints(
  parts: LiveEndpointsParts,
  service: string,
): readonly EndpointRecord[] {
  return listLive(parts, parts.endpoints.listUsable(service));
}

/**
 * Lists the live engines that may run a stream: for a stream that has begun,
 * those of its software version.
 *
 * @param origin Undefined for a stream that has not begun.
 */
export function listStreamEngines(
  parts: LiveEndpointsParts,
  service: string,
  origin: StreamOrigin | undefined,
): readonly EndpointRecord[] {
  if (origin === undefined) return listLiveEndpoints(parts, service);
  const engines = parts.endpoints.listOpenToBegun(service);
  const ofVersion = engines.filter((engine) => isOfOrigin(engine, origin));
  return listLive(parts, ofVersion);
}

/**
 * Lists the leaving engines that still serve and may continue a begun stream,
 * for one that has no other engine.
 */
export async function listDraining(
  {crashes, endpoints}: LiveEndpointsParts,
  service: string,
  origin: StreamOrigin,
): Promise<readonly EndpointRecord[]> {
  const engines = await endpoints.listDraining(service);
  return engines
    .filter((engine) => isOfOrigin(engine, origin))
    .filter(({instanceId}) => !crashes.hasCrashed(instanceId));
}

function listLive(
  {crashes}: LiveEndpointsParts,
  usable: readonly EndpointRecord[],
): readonly EndpointRecord[] {
  if (!crashes.hasCrashes) return usable;
  const live = usable.filter(({instanceId}) => !crashes.hasCrashed(instanceId));
  return live.length === 0 ? usable : live;
}
