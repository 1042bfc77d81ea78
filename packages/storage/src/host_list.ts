/** The platform's lagging list of live and leaving hosts. */
import type {Result} from 'neverthrow';
import * as z from 'zod';
import type {PlatformError} from './table_service.js';

/** A host of the list. */
export const LISTED_HOST_SCHEMA = z.object({
  /** ip:port; of an entry host the peer address, else the endpoint's. */
  address: z.string(),
  role: z.enum(['entry', 'endpoint']),
  /** The service an endpoint belongs to. */
  service: z.string().optional(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});
/** A host of the list. */
export type ListedHost = z.infer<typeof LISTED_HOST_SCHEMA>;

/** The host list. */
export interface HostList {
  listHosts(): Promise<Result<readonly ListedHost[], PlatformError>>;
}
