/**
 * Compresses the changes of a table and splits them into parts that each fit
 * into a datagram; each part starts at the revision where the previous one
 * ends.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {ReplicaRow} from '@irisdock/decisions';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {
  decodeTableRows,
  encodeTableRows,
  TABLE_ROW_SCHEMA,
} from './peer_tables_message.js';

/** Rows changed after one revision, and the revision that they lead to. */
export interface UpdatePart {
  readonly after: number;
  readonly revision: number;
  readonly packedRows: Uint8Array;
}

/** Larger datagrams may be fragmented or truncated on the way. */
const MAX_PART_BYTES = 1150;
/** An entry of an endpoint takes some 70 bytes when compressed. */
const MAX_ROWS_PER_PART = 12;
/** Bounds the memory for malformed input; valid parts are far smaller. */
const MAX_UNPACKED_BYTES = 262_144;
/**
 * A small window is enough to find repeated names, and avoids an allocation of
 * 256 KB by zlib for each part.
 */
const DEFLATE_OPTIONS = {windowBits: 12, memLevel: 5} as const;

const ROWS_SCHEMA = z.array(TABLE_ROW_SCHEMA);

/**
 * Splits changes into parts.
 *
 * @param rows The changed rows, in the order of their revisions.
 * @returns Undefined when a row does not fit into a part.
 */
export function createUpdateParts(
  rows: readonly ReplicaRow[],
  after: number,
  revision: number,
): UpdatePart[] | undefined {
  const parts: UpdatePart[] = [];
  let from = 0;
  let startRevision = after;
  while (from < rows.length) {
    const part = createLargestPart(rows, from, startRevision);
    if (part === undefined) return undefined;
    from += part.count;
    const isLast = from >= rows.length;
    const endRevision = isLast ? revision : part.revision;
    const {packedRows} = part;
    parts.push({after: startRevision, revision: endRevision, packedRows});
    startRevision = part.revision;
  }
  return parts;
}

/** Decodes the rows of a part. */
export function decodePackedRows(
  packed: Uint8Array,
): Result<ReplicaRow[], string> {
  try {
    const text = inflateRawSync(packed, {maxOutputLength: MAX_UNPACKED_BYTES});
    const parsed = ROWS_SCHEMA.safeParse(JSON.parse(text.toString()));
    if (!parsed.success) return err(parsed.error.message);
    return ok(decodeTableRows(parsed.data));
  } catch {
    return err('the rows are not compressed JSON');
  }
}

function createLargestPart(
  rows: readonly ReplicaRow[],
  from: number,
  after: number,
): {count: number; revision: number; packedRows: Uint8Array} | undefined {
  let maxCount = Math.min(MAX_ROWS_PER_PART, rows.length - from);
  for (;;) {
    const count = countWholeRevisions(rows, from, maxCount);
    const partRows = rows.slice(from, from + count);
    const packedRows = encodePackedRows(partRows);
    const revision = partRows.at(-1)?.revision ?? after;
    if (packedRows.length <= MAX_PART_BYTES) {
      return {count, revision, packedRows};
    }
    if (maxCount === 1) return undefined;
    maxCount = Math.ceil(maxCount / 2);
  }
}

/** Extends a count of rows to the end of a revision, which is never split. */
function countWholeRevisions(
  rows: readonly ReplicaRow[],
  from: number,
  count: number,
): number {
  let wholeCount = count;
  while (
    rows[from + wholeCount]?.revision === rows[from + wholeCount - 1]?.revision
  ) {
    if (rows[from + wholeCount] === undefined) break;
    wholeCount++;
  }
  return wholeCount;
}

function encodePackedRows(rows: readonly ReplicaRow[]): Uint8Array {
  return deflateRawSync(JSON.stringify(encodeTableRows(rows)), DEFLATE_OPTIONS);
}
