/** An abort signal for callers that disconnect. */
import type {ServerResponse} from 'node:http';

/** Creates a signal that aborts if the response closes before it is sent. */
export function createCallerSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  if (response.destroyed) controller.abort();
  response.on('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
