/** Tells when a caller is gone. */
import type {ServerResponse} from 'node:http';

/** Gives a signal that is aborted when the connection ends too early. */
export function createCallerSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  if (response.destroyed) controller.abort();
  response.on('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
