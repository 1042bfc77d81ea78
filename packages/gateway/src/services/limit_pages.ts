/** The operators' list of limits that endpoints advertise: `GET /v1/limits`. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@irisdock/kernel';
import type {GatewayEndpoints} from './gateway_endpoints.js';
import {sendJson} from './json_response.js';
import type {SendLimits} from './send_limits.js';

const PATH = '/v1/limits';
const MS_PER_SECOND = 1000;

/** Dependencies of the page. */
export interface LimitPagesParts {
  readonly limits: SendLimits;
  readonly endpoints: GatewayEndpoints;
  readonly clock: Clock;
}

/** Answers a request for this page; returns false for any other request. */
export function handleLimitPages(
  message: IncomingMessage,
  response: ServerResponse,
  parts: LimitPagesParts,
): boolean {
  const [path = ''] = (message.url ?? '').split('?');
  if (path !== PATH || message.method !== 'GET') return false;
  sendJson(response, 200, {limits: listShown(parts)});
  return true;
}

function listShown({limits, endpoints, clock}: LimitPagesParts): object[] {
  const now = clock.getNow();
  return limits.listLimits().map((limit) => {
    const {instanceId, perSecond, since, source, issuer, given, held} = limit;
    const entry = endpoints.find(instanceId)?.entry;
    return {
      endpoint: instanceId,
      service: entry?.service ?? null,
      address: entry?.address ?? null,
      perSecond,
      sinceSeconds: Math.round((now - since) / MS_PER_SECOND),
      source,
      issuer: issuer ?? null,
      given,
      held,
    };
  });
}
