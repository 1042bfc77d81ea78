/** The rows that the system keeps in the platform's table. */
import {
  CHANGE_SCHEMA,
  RESOURCE_SCHEMA,
  type Change,
  type Resource,
} from '@irisdock/resources';
import type {TableRow} from '@irisdock/storage';
import * as z from 'zod';

const DIGITS = 12;
// Sorts after every character that a key may hold.
const LAST = '\u{7f}';

/** The row that holds the present revision. */
export const HEAD_KEY = 'irisdock/head';
/** What the head row holds. */
export const HEAD_SCHEMA = z.object({revision: z.number().int().min(0)});

/** Gives the key of a resource's row. */
export function getResourceRowKey(kind: string, name: string): string {
  return `irisdock/resource/${kind}/${name}`;
}

/** Gives the key of a change's row; keys sort as revisions do. */
export function getChangeRowKey(revision: number): string {
  return `irisdock/change/${String(revision).padStart(DIGITS, '0')}`;
}

/** Gives the key of the row that tells an operation's revision. */
export function getOperationRowKey(operationId: string): string {
  return `irisdock/operation/${operationId}`;
}

/** Gives the key of a lease's row. */
export function getLeaseRowKey(name: string): string {
  return `irisdock/lease/${name}`;
}

/** How many changes an archive object holds; the same on all hosts. */
export const ARCHIVE_BATCH = 100;
/** The row that tells how far the archive reaches. */
export const ARCHIVE_KEY = 'irisdock/archive';
const ARCHIVE_SCHEMA = z.object({through: z.number().int().min(0)});

/** Gives the name of the object that holds a revision's change. */
export function getArchiveObjectName(revision: number): string {
  const first = revision - ((revision - 1) % ARCHIVE_BATCH);
  return `irisdock/changes/${String(first).padStart(DIGITS, '0')}`;
}

/** Creates the value of the archive's row. */
export function createArchiveRowValue(through: number): string {
  return JSON.stringify({through});
}

/** Reads how far the archive reaches; 0 when there is none yet. */
export function readArchivedRevision(row: TableRow | undefined): number {
  if (row === undefined) return 0;
  return ARCHIVE_SCHEMA.parse(JSON.parse(row.value)).through;
}

/** The range of all resources. */
export const RESOURCE_RANGE = {
  from: 'irisdock/resource/',
  until: `irisdock/resource/${LAST}`,
};

/** The end of the range of all changes. */
export const CHANGE_RANGE_END = `irisdock/change/${LAST}`;

/** Reads the revision of the head row; 0 when there is none yet. */
export function readHeadRevision(row: TableRow | undefined): number {
  if (row === undefined) return 0;
  return HEAD_SCHEMA.parse(JSON.parse(row.value)).revision;
}

/** Reads a change's row. */
export function readChange(row: TableRow): Change {
  return CHANGE_SCHEMA.parse(JSON.parse(row.value));
}

/** Reads a resource's row. */
export function readResource(row: TableRow): Resource {
  return RESOURCE_SCHEMA.parse(JSON.parse(row.value));
}
