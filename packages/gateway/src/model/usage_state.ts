/**
 * The rows of the task `usage`: its checkpoint, and the final report of each
 * window. Each may need several rows, as it has a count for each team.
 */
import type {UsageCheckpoint, WindowCounts} from '@irisdock/decisions';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import {decodeJson} from './json_value.js';
import {USAGE_REPORT_SCHEMA, type UsageReport} from './platform_api.js';
import {createTextRows} from './row_chunks.js';
import type {RowChange, TableRow} from './table_store.js';

/** The key of the checkpoint. */
export const USAGE_STATE_KEY = 'state';
const WINDOW_KEY_PREFIX = 'window/';
/**
 * The maximum number of rows of the checkpoint. The store takes 100 entries in a
 * transaction, which also has the lease, the report of a window, conditions and
 * the deletion of old rows.
 */
export const MAX_STATE_ROWS = 61;

const USAGE_STATE_SCHEMA = z.object({
  /** The era of the store when the holder read its rows. */
  era: z.number().int(),
  /** The first window that was not final. */
  next: z.number().int(),
  /** The final windows that were not known to be sent. */
  unsent: z.array(z.number().int()),
  /** The sums of the windows that were not final, by window and team. */
  windows: z.record(z.string(), USAGE_REPORT_SCHEMA.shape.counts),
  /** The part of the sums that belongs to lost incarnations. */
  lost: z.record(z.string(), USAGE_REPORT_SCHEMA.shape.counts),
  /** The lost incarnations that had reported to the holder. */
  lostIds: z.array(z.string()),
  /** The other incarnations whose reports are in the sums. */
  reportedIds: z.array(z.string()),
  /** The part of the sums that belongs to unresponsive incarnations. */
  unresponsive: z
    .record(z.string(), USAGE_REPORT_SCHEMA.shape.counts)
    .default(() => ({})),
  /** The unresponsive incarnations, which are among the reported ones. */
  unresponsiveIds: z.array(z.string()).default(() => []),
});
/** The checkpoint of the task. */
export type UsageState = z.infer<typeof USAGE_STATE_SCHEMA>;
/** What a checkpoint is written from. */
type TakenState = Pick<UsageState, 'era' | 'next' | 'unsent'> & UsageCheckpoint;

/** Returns the key of the row of a window. */
export function formatWindowKey(window: number): string {
  return `${WINDOW_KEY_PREFIX}${window}`;
}

/**
 * Splits the rows of windows by window, each the first of its window with those
 * that continue it.
 */
export function splitWindowRows(
  rows: readonly TableRow[],
): ReadonlyMap<number, readonly TableRow[]> {
  const windows = new Map<number, TableRow[]>();
  for (const row of rows) {
    const window = parseWindowKey(row.key);
    if (window !== undefined) windows.set(window, [row]);
  }
  for (const row of rows) {
    const firstKey = row.key.slice(0, row.key.lastIndexOf('/'));
    const window = parseWindowKey(firstKey);
    if (window !== undefined) windows.get(window)?.push(row);
  }
  return windows;
}

/** Returns the window of a row; undefined if the row is not its first. */
function parseWindowKey(key: string): number | undefined {
  if (!key.startsWith(WINDOW_KEY_PREFIX)) return undefined;
  const window = Number(key.slice(WINDOW_KEY_PREFIX.length));
  return Number.isSafeInteger(window) ? window : undefined;
}

/** Returns the key of one of several rows of a window. */
export function formatWindowPartKey(window: number, index: number): string {
  return `${formatWindowKey(window)}/${index}`;
}

/** Creates the rows of the report of a window, which is given as JSON. */
export function createReportRows(window: number, text: string): RowChange[] {
  return createTextRows(formatWindowKey(window), text);
}

/**
 * Creates the rows of the checkpoint. If there would be too many, as after a
 * long outage of the store, the latest windows are left out: their hosts are the
 * likeliest to be asked before these windows are final.
 */
export function createStateRows(state: TakenState): RowChange[] {
  const rows = createTextRows(USAGE_STATE_KEY, JSON.stringify(state));
  const windows = Object.keys(state.windows).map(Number);
  if (rows.length <= MAX_STATE_ROWS || windows.length === 0) return rows;
  const latest = Math.max(...windows);
  const isKept = ([window]: readonly [string, unknown]): boolean =>
    Number(window) !== latest;
  const dropLatest = (counts: WindowCounts = {}): WindowCounts =>
    Object.fromEntries(Object.entries(counts).filter(isKept));
  return createStateRows({
    ...state,
    windows: dropLatest(state.windows),
    lost: dropLatest(state.lost),
    unresponsive: dropLatest(state.unresponsive),
  });
}

/** Decodes the checkpoint; an error says what is wrong with it. */
export function decodeUsageState(value: string): Result<UsageState, string> {
  return decodeJson(USAGE_STATE_SCHEMA, value);
}

/** Decodes the report of a window; an error says what is wrong with it. */
export function decodeUsageReport(value: string): Result<UsageReport, string> {
  return decodeJson(USAGE_REPORT_SCHEMA, value);
}
