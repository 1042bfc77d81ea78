/**
 * The state of scaling in the store, one row a service: the plan, and the orders
 * that are about to be sent. An order is saved before it is sent, so that a new
 * holder repeats one whose outcome is not known.
 */
import {CAPACITY_KINDS} from '@irisdock/decisions';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import {decodeJson} from './json_value.js';

/** The prefix of the keys, relative to the task. */
export const SCALING_STATE_PREFIX = 'state/';

const COUNT = z.number().int().min(0);
const POOL = {domain: z.string(), kind: z.enum(CAPACITY_KINDS), count: COUNT};
const POOL_STATE = {
  ...POOL,
  isOrdered: z.boolean(),
  isUnavailable: z.boolean(),
  // Absent in rows of earlier versions.
  unconfirmed: z.array(COUNT).default([]),
};

/** The schema of a row. */
export const SCALING_ROW_SCHEMA = z.object({
  plan: z.object({
    level: z.number().min(0),
    initial: COUNT,
    hasDemand: z.boolean(),
    pools: z.array(z.object(POOL_STATE)),
  }),
  pending: z.array(z.object({...POOL, reason: z.string()})),
});
/** A row. */
export type ScalingRow = z.infer<typeof SCALING_ROW_SCHEMA>;

/** Formats the key of a service's row. */
export function formatScalingKey(service: string): string {
  return `${SCALING_STATE_PREFIX}${service}`;
}

/** Reads a row; an error says what is wrong. */
export function parseScalingRow(text: string): Result<ScalingRow, string> {
  return decodeJson(SCALING_ROW_SCHEMA, text);
}
