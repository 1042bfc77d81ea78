/**
 * Rows of the table of used retries: one for each process of a host and each
 * service of which it used more than a small part of its share. A row whose
 * value cannot be read may belong to any service.
 */
import * as z from 'zod';
import {tryParseJson} from './json_value.js';
import {hashToHex} from './text_digest.js';

const RETRY_USE_ROW_SCHEMA = z.object({
  service: z.string(),
  host: z.string(),
  incarnation: z.number(),
});
/** Who used the retries of which service. */
export type RetryUseRow = z.infer<typeof RETRY_USE_ROW_SCHEMA>;

/** Formats the key of a row; a digest, as names may be longer than a key. */
export function formatRetryUseKey(row: RetryUseRow): string {
  const {service, host, incarnation} = row;
  return hashToHex(JSON.stringify([service, host, incarnation]));
}

/** Formats the value of a row. */
export function formatRetryUse(row: RetryUseRow): string {
  return JSON.stringify(row);
}

/** Parses the value of a row; undefined if it is invalid. */
export function parseRetryUse(value: string): RetryUseRow | undefined {
  return RETRY_USE_ROW_SCHEMA.safeParse(tryParseJson(value)).data;
}
