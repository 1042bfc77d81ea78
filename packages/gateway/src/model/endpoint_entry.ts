/** An endpoint as it announces itself. */
import * as z from 'zod';

/** What an endpoint says of itself. */
export const ENDPOINT_ENTRY_SCHEMA = z.object({
  /** One start of one endpoint; a restart has another id. */
  instanceId: z.string(),
  service: z.string(),
  /** `ip:port`; may later belong to an endpoint of another service. */
  address: z.string(),
  failureDomain: z.string(),
  /** Requests that it runs at the same time. */
  slots: z.number(),
  /** A leaving one takes no new work. */
  state: z.enum(['ready', 'leaving']),
});

/** An endpoint's entry. */
export type EndpointEntry = z.infer<typeof ENDPOINT_ENTRY_SCHEMA>;
