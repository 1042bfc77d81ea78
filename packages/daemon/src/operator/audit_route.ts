/** `GET /v1/audit`: who changed what, read from the platform's table. */
import type {TableService} from '@irisdock/platform';
import {sendError, sendJson, type WebRequest} from '@irisdock/web';
import {
  CHANGES_UNTIL,
  getChangeRowKey,
  readChange,
} from '../configuration/table_rows.js';

const DEFAULT_LIMIT = 100;
const MAX_LIMIT = 1000;

/** Sends the changes after a revision, the oldest first. */
export async function sendAudit(
  request: WebRequest,
  table: TableService,
): Promise<void> {
  const query = request.url.searchParams;
  const after = Math.max(0, Math.floor(Number(query.get('after') ?? 0)) || 0);
  const wanted = Math.floor(Number(query.get('limit') ?? DEFAULT_LIMIT));
  const limit = Math.min(MAX_LIMIT, Math.max(1, wanted || DEFAULT_LIMIT));
  const rows = await table.scanRows({
    from: getChangeRowKey(after + 1),
    until: CHANGES_UNTIL,
    limit,
  });
  if (rows.isErr()) {
    sendError(request.response, rows.error);
    return;
  }
  const changes = rows.value.map(readChange);
  const last = changes.at(-1)?.revision ?? after;
  const more = changes.length === limit;
  sendJson(request.response, 200, {changes, next: last, more});
}
