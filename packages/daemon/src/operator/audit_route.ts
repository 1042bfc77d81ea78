/**
 * `GET /v1/audit`: the audit log of configuration changes. Recent changes are
 * read from the platform's table, archived ones from its object store.
 */
import type {KnownError} from '@irisdock/kernel';
import type {ObjectStore, TableService} from '@irisdock/storage';
import {CHANGE_SCHEMA, type Change} from '@irisdock/resources';
import {sendError, sendJson, type WebRequest} from '@irisdock/web';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {
  CHANGE_RANGE_END,
  getArchiveObjectName,
  getChangeRowKey,
  readChange,
} from '../configuration/table_rows.js';

const DEFAULT_LIMIT = 100;
const MAX_LIMIT = 1000;
const CHANGES_SCHEMA = z.array(CHANGE_SCHEMA);

/** The stores that the audit log is read from. */
export interface AuditSources {
  readonly table: TableService;
  readonly objects: ObjectStore;
}

/** Sends a page of the changes after a revision, oldest first. */
export async function sendAudit(
  request: WebRequest,
  sources: AuditSources,
): Promise<void> {
  const query = request.url.searchParams;
  const after = Math.max(0, Math.floor(Number(query.get('after') ?? 0)) || 0);
  const requestedLimit = Math.floor(
    Number(query.get('limit') ?? DEFAULT_LIMIT),
  );
  const limit = Math.min(
    MAX_LIMIT,
    Math.max(1, requestedLimit || DEFAULT_LIMIT),
  );
  const changes: Change[] = [];
  while (changes.length < limit) {
    const last = changes.at(-1)?.revision ?? after;
    const page = await readPage(sources, last, limit - changes.length);
    if (page.isErr()) {
      sendError(request.response, page.error);
      return;
    }
    if (page.value.length === 0) break;
    changes.push(...page.value);
  }
  const last = changes.at(-1)?.revision ?? after;
  const more = changes.length === limit;
  sendJson(request.response, 200, {changes, next: last, more});
}

async function readPage(
  sources: AuditSources,
  after: number,
  limit: number,
): Promise<Result<readonly Change[], KnownError>> {
  const from = getChangeRowKey(after + 1);
  const until = CHANGE_RANGE_END;
  const rows = await sources.table.scanRows({from, until, limit});
  if (rows.isErr()) return err(rows.error);
  const changes = rows.value.map(readChange);
  // If the first row is not the next revision, that revision is archived.
  if (changes[0]?.revision === after + 1) return ok(changes);
  const object = await sources.objects.getObject(
    getArchiveObjectName(after + 1),
  );
  return object.map((text) => {
    if (text === undefined) return changes;
    const batch = CHANGES_SCHEMA.parse(JSON.parse(text));
    return batch.filter((c) => c.revision > after).slice(0, limit);
  });
}
