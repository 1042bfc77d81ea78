/**
 * Baselines that `chooseEndpoint` is compared with: the least loaded endpoint
 * by the last reports, or a random one.
 */
import type {Random} from '@irisdock/kernel';
import type {EndpointView} from '../endpoint_choice.js';

/** Chooses the endpoint that reported the lowest load, the first of equals. */
export function chooseLeastReported(
  endpoints: readonly EndpointView[],
): EndpointView | undefined {
  let best: EndpointView | undefined;
  for (const endpoint of endpoints) {
    if (!endpoint.isAnswering) continue;
    if (best === undefined || endpoint.reportedLoad < best.reportedLoad) {
      best = endpoint;
    }
  }
  return best;
}

/** Chooses a random endpoint that answers. */
export function chooseAtRandom(
  endpoints: readonly EndpointView[],
  random: Random,
): EndpointView | undefined {
  const answering = endpoints.filter((endpoint) => endpoint.isAnswering);
  if (answering.length === 0) return undefined;
  return answering[random.getInt(answering.length)];
}
