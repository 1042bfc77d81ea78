/**
 * The rows of the task `usage`: its checkpoint, and the final report of each
 * window.
 */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {USAGE_REPORT_SCHEMA, type UsageReport} from './platform_api.js';

/** The key of the checkpoint. */
export const USAGE_STATE_KEY = 'state';
const WINDOW_KEY_PREFIX = 'window/';

const USAGE_STATE_SCHEMA = z.object({
  /** The era of the store when the holder read its rows. */
  era: z.number().int().default(0),
  /** When the sums were taken, in ms since 1970. */
  takenAt: z.number(),
  /** The first window that was not final. */
  next: z.number().int(),
  /** The final windows that were not known to be sent. */
  unsent: z.array(z.number().int()),
  /** The sums of the windows that were not final, by window and team. */
  windows: z.record(z.string(), USAGE_REPORT_SCHEMA.shape.counts),
  /** The part of the sums that belongs to lost incarnations. */
  lost: z.record(z.string(), USAGE_REPORT_SCHEMA.shape.counts).default({}),
  /** The lost incarnations that had reported to the holder. */
  lostIds: z.array(z.string()).default([]),
});
/** The checkpoint of the task. */
export type UsageState = z.infer<typeof USAGE_STATE_SCHEMA>;

/** Returns the key of the row of a window. */
export function formatWindowKey(window: number): string {
  return `${WINDOW_KEY_PREFIX}${window}`;
}

/** Returns the window of a row; undefined if the row is no window's. */
export function parseWindowKey(key: string): number | undefined {
  if (!key.startsWith(WINDOW_KEY_PREFIX)) return undefined;
  const window = Number(key.slice(WINDOW_KEY_PREFIX.length));
  return Number.isSafeInteger(window) ? window : undefined;
}

/** Decodes the checkpoint; an error says what is wrong with it. */
export function decodeUsageState(value: string): Result<UsageState, string> {
  return decodeJson(USAGE_STATE_SCHEMA, value);
}

/** Decodes the report of a window; an error says what is wrong with it. */
export function decodeUsageReport(value: string): Result<UsageReport, string> {
  return decodeJson(USAGE_REPORT_SCHEMA, value);
}

function decodeJson<T>(schema: z.ZodType<T>, value: string): Result<T, string> {
  let json: unknown;
  try {
    json = JSON.parse(value);
  } catch {
    return err('it is not valid JSON');
  }
  const parsed = schema.safeParse(json);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
