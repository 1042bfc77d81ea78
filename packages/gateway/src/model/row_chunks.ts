/**
 * Texts that may be longer than a row of the store may be. A long text is split
 * over rows that are written in one transaction: the row of its key tells their
 * number, and they follow it as `KEY/0`, `KEY/1` and so on. Rows that a longer
 * text left behind are not read.
 */
import * as z from 'zod';
import {tryParseJson} from './json_value.js';
import type {RowChange, TableRow} from './table_store.js';

/**
 * The longest text of a row, in bytes of UTF-8. The store takes 64 KB, and the
 * text is a third longer there, in base64.
 */
export const MAX_ROW_BYTES = 45_000;

/** The length of the longest first row of several, in characters. */
const MAX_HEAD_LENGTH = 40;

const HEAD_SCHEMA = z.strictObject({chunks: z.number().int().min(1)});

/** Creates the rows of a text; one, with the text itself, if it is short. */
export function createTextRows(key: string, text: string): RowChange[] {
  const bytes = Buffer.from(text);
  if (bytes.length <= MAX_ROW_BYTES) return [{key, value: text}];
  const rows: RowChange[] = [];
  for (let from = 0; from < bytes.length;) {
    let to = Math.min(from + MAX_ROW_BYTES, bytes.length);
    while (isInsideCharacter(bytes[to])) to--;
    const value = bytes.subarray(from, to).toString();
    rows.push({key: `${key}/${rows.length}`, value});
    from = to;
  }
  return [{key, value: JSON.stringify({chunks: rows.length})}, ...rows];
}

/**
 * Finds the text of a key in rows of the store. If a part is missing, it is the
 * text of the first row, which is no valid text of its own.
 */
export function findText(
  rows: readonly TableRow[],
  key: string,
): string | undefined {
  const values = new Map(rows.map((row) => [row.key, row.value]));
  const first = values.get(key);
  const head = HEAD_SCHEMA.safeParse(tryParse(first));
  if (!head.success) return first;
  let text = '';
  for (let index = 0; index < head.data.chunks; index++) {
    const value = values.get(`${key}/${index}`);
    if (value === undefined) return first;
    text += value;
  }
  return text;
}

function tryParse(text = ''): unknown {
  // A longer text is no first row of several.
  return text.length > MAX_HEAD_LENGTH ? undefined : tryParseJson(text);
}

function isInsideCharacter(byte = 0): boolean {
  return (byte & 0xc0) === 0x80;
}
