/**
 * Changes of a table as they go from the host that read them to all others:
 * packed, and in parts that each fit into a datagram and follow on each other.
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

/** Rows that follow on a change, and the change that they lead to. */
export interface UpdatePart {
  readonly after: number;
  readonly revision: number;
  readonly packedRows: Uint8Array;
}

/** The largest part, in bytes; larger datagrams may be cut on the way. */
const MAX_PART_BYTES = 1150;
/** Rows tried in one part; entries of endpoints take some 70 bytes packed. */
const ROWS_PER_PART = 12;
/** No part comes near this size unpacked, in bytes. */
const MAX_UNPACKED_BYTES = 262_144;
/**
 * A small window is enough to find repeated names, and saves zlib from taking
 * 256 KB for each part.
 */
const DEFLATE_OPTIONS = {windowBits: 12, memLevel: 5} as const;

const ROWS = z.array(TABLE_ROW_SCHEMA);

/**
 * Splits changes into parts; rows in the order of their revisions.
 *
 * @returns Undefined when a row does not fit into a part.
 */
export function createUpdateParts(
  rows: readonly ReplicaRow[],
  after: number,
  revision: number,
): UpdatePart[] | undefined {
  const parts: UpdatePart[] = [];
  let from = 0;
  let known = after;
  while (from < rows.length) {
    const part = createLargestPart(rows, from, known);
    if (part === undefined) return undefined;
    from += part.count;
    const isLast = from >= rows.length;
    const reached = isLast ? revision : part.revision;
    const {packedRows} = part;
    parts.push({after: known, revision: reached, packedRows});
    known = part.revision;
  }
  return parts;
}

/** Reads the rows of a part. */
export function decodePackedRows(
  packed: Uint8Array,
): Result<ReplicaRow[], string> {
  try {
    const text = inflateRawSync(packed, {maxOutputLength: MAX_UNPACKED_BYTES});
    const parsed = ROWS.safeParse(JSON.parse(text.toString()));
    if (!parsed.success) return err(parsed.error.message);
    return ok(decodeTableRows(parsed.data));
  } catch {
    return err('the rows are no packed JSON');
  }
}

function createLargestPart(
  rows: readonly ReplicaRow[],
  from: number,
  after: number,
): {count: number; revision: number; packedRows: Uint8Array} | undefined {
  let most = Math.min(ROWS_PER_PART, rows.length - from);
  for (;;) {
    const count = keepRevisionsWhole(rows, from, most);
    const chosen = rows.slice(from, from + count);
    const packedRows = encodePackedRows(chosen);
    const revision = chosen.at(-1)?.revision ?? after;
    if (packedRows.length <= MAX_PART_BYTES) {
      return {count, revision, packedRows};
    }
    if (most === 1) return undefined;
    most = Math.ceil(most / 2);
  }
}

/** Rows of one revision stay together: a part ends with a whole change. */
function keepRevisionsWhole(
  rows: readonly ReplicaRow[],
  from: number,
  count: number,
): number {
  let whole = count;
  while (rows[from + whole]?.revision === rows[from + whole - 1]?.revision) {
    if (rows[from + whole] === undefined) break;
    whole++;
  }
  return whole;
}

function encodePackedRows(rows: readonly ReplicaRow[]): Uint8Array {
  return deflateRawSync(JSON.stringify(encodeTableRows(rows)), DEFLATE_OPTIONS);
}
