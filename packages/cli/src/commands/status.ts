/** `irisdock status`: what a host sees. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import type {Status} from '../api_client.js';
import {createCommand} from '../command.js';
import type {Row} from '../output.js';

const COLUMNS = ['WHAT', 'NAME', 'DOMAIN', 'STATE', 'DETAIL'];

/** The command. */
export const STATUS_COMMAND = createCommand({
  name: 'status',
  usage: '',
  description:
    'Shows hosts with the revision each has in force, and the endpoints.',
  options: [],
  schema: z.object({
    words: z.tuple([], 'give no words'),
    options: z.object({}),
  }),
  async run({client, output}) {
    const status = await client.getStatus();
    if (status.isErr()) return err(status.error);
    output.print(status.value, COLUMNS, listRows(status.value));
    return ok();
  },
});

function listRows(status: Status): Row[] {
  const hosts = status.hosts.map((host): Row => {
    const revision = host.revision ?? 'unknown';
    const detail = `revision ${revision}`;
    return ['host', host.hostId, host.failureDomain, host.state, detail];
  });
  const endpoints = status.services.flatMap((service) =>
    service.endpoints.map((endpoint): Row => {
      const name = `${service.service} ${endpoint.address}`;
      const answering = endpoint.answering ? 'answering' : 'lost';
      const state = endpoint.leaving ? 'leaving' : answering;
      const load = `${endpoint.running}/${endpoint.slots} running`;
      const detail = `${load}; loaded ${endpoint.models.join(' ') || 'nothing'}`;
      return ['endpoint', name, endpoint.failureDomain, state, detail];
    }),
  );
  const {right, tableAgeMs} = status.host;
  const seen = `revision ${status.revision}; table heard ${tableAgeMs} ms ago`;
  const self: Row = ['seen by', status.host.hostId, '', right, seen];
  return [self, ...hosts, ...endpoints];
}
