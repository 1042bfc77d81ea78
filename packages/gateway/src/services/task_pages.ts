/** The operators' list of singleton tasks: `GET /v1/tasks`. */
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
    const ageSeconds =
      ageMs === undefined ? null : Math.round(ageMs / MS_PER_SECOND);
    const place = {holder: holder ?? null, fence, ageSeconds};
    return {task, ...place, isHolder, candidates};
  });
  sendJson(response, 200, {tasks: shown});
  return true;
}
