/** The naive ways to choose: least loaded by last report, or at random. */
import type {Random} from '@irisdock/kernel';
import type {EndpointView} from '../endpoint_choice.js';

/** Takes the endpoint whose own report is the lowest, the first of equals. */
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

/** Takes any endpoint that answers. */
export function chooseAtRandom(
  endpoints: readonly EndpointView[],
  random: Random,
): EndpointView | undefined {
  const answering = endpoints.filter((e) => e.isAnswering);
  if (answering.length === 0) return undefined;
  return answering[random.getInt(answering.length)];
}
