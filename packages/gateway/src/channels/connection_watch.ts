/** Watches until a request has a connection on which it can be sent. */
import type {ClientRequest} from 'node:http';
import {RunningTimer, type RunningClock} from '@irisdock/kernel';

/** How long a connection may take to open; a live endpoint needs a few ms. */
const CONNECT_TIMEOUT_MS = 300;

/** Receives what becomes of the connection. */
export interface ConnectionListener {
  /** The request is sent on a connection, which may have been opened for it. */
  handleOpen(isNew: boolean): void;
  /** The connection did not open in time. */
  handleTimeout(): void;
}

/**
 * Watches the connection of a request until it is open.
 *
 * @param maxOpenMs How long it may take to open, in ms, whether or not the
 *     process runs all the while.
 */
export function watchConnection(
  clientRequest: ClientRequest,
  clock: RunningClock,
  listener: ConnectionListener,
  maxOpenMs = Infinity,
): void {
  const timer = new RunningTimer(clock, CONNECT_TIMEOUT_MS, () => {
    listener.handleTimeout();
  });
  const lateTimer = startLateTimer(listener, maxOpenMs);
  const stop = (): void => {
    timer.close();
    clearTimeout(lateTimer);
  };
  const handleOpen = (isNew: boolean): void => {
    stop();
    listener.handleOpen(isNew);
  };
  clientRequest.once('socket', (socket) => {
    if (!socket.connecting) {
      handleOpen(false);
      return;
    }
    socket.once('connect', () => {
      handleOpen(true);
    });
  });
  clientRequest.once('close', stop);
}

function startLateTimer(
  listener: ConnectionListener,
  maxOpenMs: number,
): NodeJS.Timeout | undefined {
  if (maxOpenMs === Infinity) return undefined;
  return setTimeout(() => {
    listener.handleTimeout();
  }, maxOpenMs);
}
