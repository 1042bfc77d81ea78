/** The operators' list of hosts: `GET /v1/hosts`. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@irisdock/kernel';
import type {GatewayConfiguration} from './configuration.js';
import {sendJson} from './json_response.js';
import type {Peers} from './peer_hosts.js';

const PATH = '/v1/hosts';
const MS_PER_SECOND = 1000;

/** Dependencies of the page. */
export interface HostPagesParts {
  readonly peers: Peers;
  readonly configuration: GatewayConfiguration;
  readonly clock: Clock;
}

/** Answers a request for this page; returns false for any other request. */
export function handleHostPages(
  message: IncomingMessage,
  response: ServerResponse,
  {peers, configuration, clock}: HostPagesParts,
): boolean {
  const [path = ''] = (message.url ?? '').split('?');
  if (path !== PATH || message.method !== 'GET') return false;
  const now = clock.getNow();
  const ageMs = peers.standing.getConfigurationAgeMs(now);
  const hosts = peers.listHostSummaries(now).map((host) => ({
    ...host,
    configuration: host.configuration ?? null,
    heardMs: undefined,
    heardSecondsAgo:
      host.heardMs === undefined
        ? null
        : Math.round(host.heardMs / MS_PER_SECOND),
  }));
  sendJson(response, 200, {
    shownBy: peers.name,
    version: configuration.version,
    ageMs: Math.round(ageMs),
    unusableTeams: [...configuration.unusableTeams],
    hosts,
  });
  return true;
}
