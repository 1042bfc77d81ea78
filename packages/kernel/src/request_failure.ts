/**
 * Watches a request until its response arrives or is certain not to. Node emits
 * neither `response` nor `error` for a request whose response switches protocols
 * although it did not ask for that: it destroys the socket and emits `close`
 * only.
 */
import type {ClientRequest} from 'node:http';

/** A request that is watched. */
export interface WatchedRequest {
  /** Destroys the request; without a response yet, it has failed. */
  fail(error: Error): void;
}

/**
 * Watches a request that was just created. Until its response arrives,
 * `handleFailure` is called at its first error, once it is closed, or when it is
 * failed; at most once. Later errors are for the reader of the response.
 */
export function watchRequestFailure(
  clientRequest: ClientRequest,
  handleFailure: (error: Error) => void,
): WatchedRequest {
  let isOver = false;
  const finish = (error: Error): void => {
    if (isOver) return;
    isOver = true;
    handleFailure(error);
  };
  clientRequest.once('response', () => {
    isOver = true;
  });
  clientRequest.on('error', finish);
  clientRequest.once('close', () => {
    finish(new Error('the connection was closed without a response'));
  });
  return {
    fail(error) {
      // Destroyed without the error: if the connection was just returned to
      // the pool, an error event would have no listener and be thrown.
      clientRequest.destroy();
      finish(error);
    },
  };
}
