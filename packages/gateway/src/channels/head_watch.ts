/**
 * Watches the bytes that arrive before the head of a response is complete. The
 * parser bounds one head, but neither empty lines before it nor the number of
 * informational responses (1xx), each with a head of its own.
 */
import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
 * The most bytes before the end of a response's head: four heads of the size
 * that the parser accepts, the last one and three informational ones.
 */
const MAX_HEAD_BYTES = 65_536;

/** Calls `handleExcess` if too much arrives before the response to a request. */
export function watchHead(
  clientRequest: ClientRequest,
  handleExcess: () => void,
): void {
  clientRequest.once('socket', (socket) => {
    watchSocket(clientRequest, socket, handleExcess);
  });
}

function watchSocket(
  clientRequest: ClientRequest,
  socket: Socket,
  handleExcess: () => void,
): void {
  let bytes = 0;
  let isWatching = true;
  const count = (chunk: Buffer): void => {
    // Removing a listener does not take effect for the chunk being emitted.
    if (!isWatching) return;
    bytes += chunk.length;
    if (bytes <= MAX_HEAD_BYTES) return;
    stop();
    handleExcess();
  };
  const stop = (): void => {
    isWatching = false;
    socket.removeListener('data', count);
  };
  socket.on('data', count);
  clientRequest.once('response', stop);
  clientRequest.once('close', stop);
}
