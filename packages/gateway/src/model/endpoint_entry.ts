/** The entry by which an endpoint registers itself in the store. */
import * as z from 'zod';

/** The schema of an endpoint's entry. */
export const ENDPOINT_ENTRY_SCHEMA = z.object({
  /** The endpoint's own name; may stay the same over restarts. */
  endpointId: z.string(),
  /**
   * Identifies one start of one endpoint. All state about endpoints is kept by
   * this id, as a restarted endpoint has no state of the previous start.
   */
  instanceId: z.string(),
  service: z.string(),
  /** `ip:port`; may be reused later by an endpoint of another service. */
  address: z.string(),
  failureDomain: z.string(),
  /** The version of its software; empty if its entry names none. */
  version: z.string(),
  /** Whether the version is that of an earlier instance at its address. */
  isVersionAssumed: z.boolean().optional(),
  /** The number of requests that it runs at the same time. */
  slots: z.number(),
  /** An endpoint that is leaving accepts no new requests. */
  state: z.enum(['ready', 'leaving']),
  /** Whether the platform may reclaim it at short notice. */
  isSpot: z.boolean().optional(),
  /** For a leaving endpoint, the time until it ends, in ms. */
  leavesMs: z.number().optional(),
});

/**
 * Formats the id of one start of an endpoint.
 *
 * @param startMs When it started by its own clock, in ms since 1970. It only
 *     distinguishes starts and doesn't order them. Undefined for endpoints that
 *     have a new id after each start.
 */
export function formatInstanceId(
  endpointId: string,
  startMs: number | undefined,
): string {
  return startMs === undefined ? endpointId : `${endpointId}/${startMs}`;
}

/** An endpoint's entry. */
export type EndpointEntry = z.infer<typeof ENDPOINT_ENTRY_SCHEMA>;
