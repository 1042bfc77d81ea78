/**
 * The call by which a host asks another for its copies of the tables, and for
 * the hosts that it knows.
 */
import type {ReplicaRow} from '@irisdock/decisions';
import * as z from 'zod';
import {REPLICATED_TABLES} from './table_store.js';

/** The path of the call. */
export const PEER_TABLES_PATH = '/peer/tables';

/** Answers a host of another deployment. */
export const OTHER_DEPLOYMENT_STATUS = 421;

/** Stands for any longer time, and for an age that nobody knows. */
export const UNKNOWN_AGE_MS = 60_000;

/** A row; null for one that was deleted. */
export const TABLE_ROW_SCHEMA = z.object({
  key: z.string(),
  value: z.string().nullable(),
  revision: z.number(),
});

/** The answer: a part for each table. */
export const PEER_TABLES_SCHEMA = z.object({
  /** The hosts that it knows to be alive, itself among them, when asked. */
  hosts: z.array(
    z.object({
      record: z.object({
        name: z.string(),
        incarnation: z.number(),
        version: z.number(),
        state: z.enum(['starting', 'ready', 'leaving']),
        isStoreAway: z.boolean(),
      }),
      place: z.object({
        failureDomain: z.string(),
        datagrams: z.string(),
        tables: z.string(),
        callers: z.string(),
      }),
    }),
  ),
  parts: z.array(
    z.object({
      table: z.enum(REPLICATED_TABLES),
      rows: z.array(TABLE_ROW_SCHEMA),
      revision: z.number(),
      /** How long ago the copy was certainly the newest, in ms. */
      ageMs: z.number().default(UNKNOWN_AGE_MS),
      /** Whether the rows are all there are, and not only the changes. */
      isWhole: z.boolean(),
    }),
  ),
});

/** The answer with the tag of the deployment that it comes from. */
export const PEER_TABLES_ANSWER_SCHEMA = PEER_TABLES_SCHEMA.extend({
  deployment: z.string(),
});

/** The answer. */
export type PeerTables = z.infer<typeof PEER_TABLES_SCHEMA>;

/** Rows as the copies of tables take them. */
export function decodeTableRows(
  rows: readonly z.infer<typeof TABLE_ROW_SCHEMA>[],
): ReplicaRow[] {
  return rows.map((row) => ({...row, value: row.value ?? undefined}));
}

/** Rows as they are sent. */
export function encodeTableRows(
  rows: readonly ReplicaRow[],
): z.infer<typeof TABLE_ROW_SCHEMA>[] {
  return rows.map((row) => ({...row, value: row.value ?? null}));
}
