/**
 * The endpoints of a service that may get a request. The entry of an endpoint that
 * has ended stays until its lease expires, and another process may have its address
 * by then.
 */
import type {EndpointRecord} from './endpoint_record.js';
import type {ServingParts} from './serving_parts.js';

/**
 * Lists the usable endpoints of a service without those that are known to have ended
 * under a run; with them when no other is left, as a report may be wrong.
 */
export function listLiveEndpoints(
  {endpoints, crashes}: Pick<ServingParts, 'crashes' | 'endpoints'>,
  service: string,
): readonly EndpointRecord[] {
  const usable = endpoints.listUsable(service);
  if (!crashes.hasCrashes) return usable;
  const live = usable.filter(({instanceId}) => !crashes.hasCrashed(instanceId));
  return live.length === 0 ? usable : live;
}
