/** Keys and values of the rows in the platform's table. */
import {
  CHANGE_SCHEMA,
  RESOURCE_SCHEMA,
  type Change,
  type Resource,
} from '@irisdock/resources';
import type {TableRow} from '@irisdock/storage';
import * as z from 'zod';

const REVISION_DIGITS = 12;
// Sorts after every character that is allowed in a key.
const KEY_RANGE_END = '\u{7f}';

/** Key of the row that holds the latest revision. */
export const HEAD_KEY = 'irisdock/head';
/** Schema of the head row and of the operation rows. */
export const HEAD_SCHEMA = z.object({revision: z.number().int().min(0)});

/** Returns the key of a resource's row. */
export function getResourceRowKey(kind: string, name: string): string {
  return `irisdock/resource/${kind}/${name}`;
}

/** Returns the key of a change's row; keys sort in order of revision. */
export function getChangeRowKey(revision: number): string {
  return `irisdock/change/${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** Returns the key of the row that maps an operation to its revision. */
export function getOperationRowKey(operationId: string): string {
  return `irisdock/operation/${operationId}`;
}

/** Returns the key of a lease's row. */
export function getLeaseRowKey(name: string): string {
  return `irisdock/lease/${name}`;
}

/** Number of changes per archive object; must be equal on all hosts. */
export const ARCHIVE_BATCH_CHANGES = 100;
/** Key of the row that holds the last archived revision. */
export const ARCHIVE_KEY = 'irisdock/archive';
const ARCHIVE_SCHEMA = z.object({through: z.number().int().min(0)});

/** Returns the name of the archive object that contains a revision. */
export function getArchiveObjectName(revision: number): string {
  const first = revision - ((revision - 1) % ARCHIVE_BATCH_CHANGES);
  return `irisdock/changes/${String(first).padStart(REVISION_DIGITS, '0')}`;
}

/** Creates the value of the archive row. */
export function createArchiveRowValue(through: number): string {
  return JSON.stringify({through});
}

/** Reads the last archived revision; 0 if the row does not exist. */
export function readArchivedRevision(row: TableRow | undefined): number {
  if (row === undefined) return 0;
  return ARCHIVE_SCHEMA.parse(JSON.parse(row.value)).through;
}

/** The key range of all resource rows. */
export const RESOURCE_RANGE = {
  from: 'irisdock/resource/',
  until: `irisdock/resource/${KEY_RANGE_END}`,
};

/** The end of the key range of all change rows. */
export const CHANGE_RANGE_END = `irisdock/change/${KEY_RANGE_END}`;

/** Reads the latest revision; 0 if the row does not exist. */
export function readHeadRevision(row: TableRow | undefined): number {
  if (row === undefined) return 0;
  return HEAD_SCHEMA.parse(JSON.parse(row.value)).revision;
}

/** Parses a change row. */
export function readChange(row: TableRow): Change {
  return CHANGE_SCHEMA.parse(JSON.parse(row.value));
}

/** Parses a resource row. */
export function readResource(row: TableRow): Resource {
  return RESOURCE_SCHEMA.parse(JSON.parse(row.value));
}
