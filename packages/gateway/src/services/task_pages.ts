/**
 * The operators' list of singleton tasks: `GET /v1/tasks`. At the holder it has
 * the last windows of usage reports and the orders of endpoints.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {sendJson} from './json_response.js';
import type {Tasks} from './tasks.js';

const PATH = '/v1/tasks';
const MS_PER_SECOND = 1000;

/** Answers a request for this page; returns false for any other request. */
export function handleTaskPages(
  message: IncomingMessage,
  response: ServerResponse,
  tasks: Pick<Tasks, 'listTasks'>,
): boolean {
  const [path = ''] = (message.url ?? '').split('?');
  if (path !== PATH || message.method !== 'GET') return false;
  const shown = tasks.listTasks().map((summary) => {
    const {task, holder, fence, ageMs, isHolder, candidates} = summary;
    const ageSeconds = toSeconds(ageMs);
    const place = {holder: holder ?? null, fence, ageSeconds};
    const windows = summary.windows.map(({window, result, endedMs}) => {
      return {window, result, endedSecondsAgo: toSeconds(endedMs)};
    });
    const orders = summary.orders.map(({ageMs, ...order}) => {
      return {...order, acceptedSecondsAgo: toSeconds(ageMs)};
    });
    return {task, ...place, isHolder, candidates, windows, orders};
  });
  sendJson(response, 200, {tasks: shown});
  return true;
}

/** Rounds to whole seconds; null for what is not known. */
function toSeconds(ms: number | undefined): number | null {
  return ms === undefined ? null : Math.round(ms / MS_PER_SECOND);
}
