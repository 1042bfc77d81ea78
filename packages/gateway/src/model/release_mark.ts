/**
 * Marks rows of hosts that keep the history of software versions, so that rows
 * that an earlier release left in the store are told apart. Releases ignore
 * fields that they don't know.
 */
import * as z from 'zod';
import {tryParseJson} from './json_value.js';
import type {TableName, TableRow} from './table_store.js';

/** The fields that hosts add to the rows in which releases are told apart. */
export const RELEASE_MARK = {keepsVersions: true} as const;

const MARK_SCHEMA = z.object({keepsVersions: z.literal(true)});
const LEASE_SUFFIX = '/lease';

/** The tables in which an earlier release leaves rows. */
export const EARLIER_TABLES = [
  'hosts',
  'tasks',
  'crashes',
  'rollouts',
] as const satisfies readonly TableName[];

/**
 * Whether a row shows that a release without the history may have served. Rows
 * of crashes and rollouts do so without a mark: this release writes them only
 * after a row of the history.
 */
export function isEarlierRow(
  table: (typeof EARLIER_TABLES)[number],
  {key, value}: TableRow,
): boolean {
  if (value === undefined) return false;
  if (table === 'crashes' || table === 'rollouts') return true;
  // The state of a task has a lease beside it.
  if (table === 'tasks' && !key.endsWith(LEASE_SUFFIX)) return false;
  return !MARK_SCHEMA.safeParse(tryParseJson(value)).success;
}
