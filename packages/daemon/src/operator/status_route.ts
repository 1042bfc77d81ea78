/** `GET /v1/status`: the state observed by this host. */
import {sendJson, type WebRequest} from '@irisdock/web';
import type {Admission} from '../services/admission.js';
import type {Configuration} from '../services/configuration.js';
import type {EndpointDirectory} from '../services/endpoint_directory.js';
import type {Host} from '../services/host.js';
import type {Membership} from '../services/membership.js';
import type {PeerLinks} from '../services/peer_links.js';

/** The services that the status is read from. */
export interface StatusParts {
  readonly host: Host;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly links: PeerLinks;
  readonly directory: EndpointDirectory;
  readonly admission: Admission;
}

/** Sends the state of this host and of the hosts and services it observes. */
export function sendStatus(request: WebRequest, parts: StatusParts): void {
  const {host, configuration, membership, links} = parts;
  const tableAgeMs = Math.round(Math.min(configuration.tableAgeMs, 1e9));
  sendJson(request.response, 200, {
    host: {
      hostId: host.hostId,
      incarnation: host.incarnation,
      failureDomain: host.failureDomain,
      right: membership.getServingDecision(),
      state: membership.view.self.state,
      tableAgeMs,
    },
    revision: configuration.revision,
    hosts: membership.view.list().map((note) => ({
      hostId: note.hostId,
      state: note.state,
      failureDomain: note.failureDomain,
      callerAddress: note.callerAddress,
      revision:
        note.hostId === host.hostId
          ? configuration.revision
          : links.getRevision(note.hostId),
    })),
    services: listServices(parts),
  });
}

function listServices(parts: StatusParts): unknown[] {
  const {configuration, directory, admission} = parts;
  return configuration.listKind('service').map(({name}) => {
    const records = directory.listAll().filter((r) => r.service === name);
    return {
      service: name,
      waiting: admission.countWaiting(name),
      endpoints: records.map((record) => {
        const view = record.getView();
        return {
          address: record.address,
          failureDomain: record.failureDomain,
          answering: record.isAnswering,
          leaving: record.isLeaving,
          running: view.reportedLoad,
          slots: view.slots,
          inFlightHere: view.inFlight,
          models: record.loaded.models,
          adapters: record.loaded.adapters,
        };
      }),
    };
  });
}
