/** Breaks off answers so that their callers see that they are incomplete. */
import type {ServerResponse} from 'node:http';

/**
 * Closes the connection of an answer that is not complete. A chunked one lacks
 * its last chunk then. One that ends with its connection is reset, as an end in
 * order would complete it.
 */
export function closeIncomplete(response: ServerResponse): void {
  const {socket, headersSent, chunkedEncoding} = response;
  // An ended socket cannot be reset; all of the answer has left it.
  const canReset = socket !== null && !socket.writableEnded;
  if (canReset && headersSent && !chunkedEncoding) socket.resetAndDestroy();
  response.destroy();
}
