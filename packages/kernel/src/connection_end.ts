/**
 * Watches how the connection of a response ends. A body without framing is
 * complete only if its connection ended in order, which its events do not tell:
 * libuv takes a hang-up that is polled together with the last bytes for the end
 * of the stream and never reads the error of the socket, so Node emits `end`
 * for some resets and `error` for others.
 */
import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/** How the connection of a response ended. */
export interface ConnectionEnd {
  /** Whether the other side ended its direction and did not reset. */
  readonly isOrderly: boolean;
}

/** Watches the connection of a request until the request is over. */
export function watchConnectionEnd(
  clientRequest: ClientRequest,
): ConnectionEnd {
  let hasEnded = false;
  let hasFailed = false;
  clientRequest.once('socket', (socket) => {
    const handleEnd = (): void => {
      hasEnded = isConnected(socket);
    };
    // Before Node's own listener, which ends the response.
    socket.prependOnceListener('end', handleEnd);
    clientRequest.once('close', () => {
      socket.removeListener('end', handleEnd);
    });
  });
  clientRequest.on('error', () => {
    hasFailed = true;
  });
  return {
    get isOrderly() {
      return hasEnded && !hasFailed;
    },
  };
}

/**
 * Whether a socket whose stream has ended was not reset: a reset one has no
 * peer, so getpeername fails. Node keeps the address once it has been read;
 * nothing else may read `remoteAddress` on connections of responses.
 */
function isConnected(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}
