/**
 * The HTTP call by which a host loads the table replicas of another host and
 * the list of hosts that it knows. The schemas name the fields of its JSON.
 */
import type {ReplicaRow} from '@irisdock/decisions';
import * as z from 'zod';
import {REPLICATED_TABLES} from './table_store.js';

/** The path of the call. */
export const PEER_TABLES_PATH = '/peer/tables';

/** The status of the response to a host of another deployment. */
export const OTHER_DEPLOYMENT_STATUS = 421;

/** The upper bound of reported ages, in ms; also stands for an unknown age. */
export const UNKNOWN_AGE_MS = 60_000;

/** A row; its value is null when it was deleted. */
export const TABLE_ROW_SCHEMA = z.object({
  key: z.string(),
  value: z.string().nullable(),
  revision: z.number(),
});

/** The response, with one part for each requested table. */
export const PEER_TABLES_SCHEMA = z.object({
  /** The hosts known to be alive, the responding one included, if requested. */
  hosts: z.array(
    z.object({
      record: z.object({
        name: z.string(),
        incarnation: z.number(),
        version: z.number(),
        state: z.enum(['starting', 'ready', 'leaving']),
        isStoreAway: z.boolean(),
        /** Absent unless true. */
        isTaskExcluded: z.boolean().optional(),
      }),
      place: z.object({
        failureDomain: z.string(),
        datagrams: z.string(),
        tables: z.string(),
        callers: z.string(),
        /** Absent for a host that tells none. */
        capacity: z
          .object({
            cores: z.number(),
            linkMbps: z.number(),
            memoryMb: z.number(),
          })
          .optional(),
      }),
    }),
  ),
  parts: z.array(
    z.object({
      table: z.enum(REPLICATED_TABLES),
      rows: z.array(TABLE_ROW_SCHEMA),
      revision: z.number(),
      /** The time since the replica was last known to be current, in ms. */
      ageMs: z.number().default(UNKNOWN_AGE_MS),
      /**
       * For the endpoints that are leaving, the time of the store's clock at
       * which the entry was ready at last, in ms; absent if there is none.
       */
      lastReady: z
        .array(z.object({instanceId: z.string(), storeNow: z.number()}))
        .optional(),
      /** Whether these are all rows of the table, not only the changed ones. */
      isWhole: z.boolean(),
    }),
  ),
  /**
   * The table addresses of hosts of the requesting host's region, in place of
   * hosts and tables; absent in other answers and from older versions.
   */
  nearer: z.array(z.string()).optional(),
});

/** The response with the tag of the responding host's deployment. */
export const PEER_TABLES_ANSWER_SCHEMA = PEER_TABLES_SCHEMA.extend({
  deployment: z.string(),
});

/** The content of a response. */
export type PeerTables = z.infer<typeof PEER_TABLES_SCHEMA>;

/** When a leaving endpoint was ready at last, as another host tells it. */
export type LastReady = NonNullable<
  PeerTables['parts'][number]['lastReady']
>[number];

/** Decodes rows of the JSON into rows of a replica. */
export function decodeTableRows(
  rows: readonly z.infer<typeof TABLE_ROW_SCHEMA>[],
): ReplicaRow[] {
  return rows.map((row) => ({...row, value: row.value ?? undefined}));
}

/** Encodes rows of a replica as rows of the JSON. */
export function encodeTableRows(
  rows: readonly ReplicaRow[],
): z.infer<typeof TABLE_ROW_SCHEMA>[] {
  return rows.map((row) => ({...row, value: row.value ?? null}));
}
