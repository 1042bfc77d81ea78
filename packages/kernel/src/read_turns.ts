/**
 * Reads large messages in turn. What one read brings may take long to parse, as
 * chunks may be of one byte each; if all connections with a large message were
 * read in each turn of the event loop, small requests would wait for seconds.
 */
import type {Socket} from 'node:net';
import {PausedSockets} from './paused_sockets.js';

/** How many connections are read in one turn of those that have waited. */
const MAX_PER_TURN = 4;

/** Lets connections wait for their turn to be read. */
export class ReadTurns {
  private readonly paused = new PausedSockets();

  /** Reads nothing from a connection until its turn. */
  pause(socket: Socket): void {
    if (this.paused.add(socket) && this.paused.size === 1) this.startTurn();
  }

  private startTurn(): void {
    setImmediate(() => {
      this.paused.resumeFirst(MAX_PER_TURN);
      if (this.paused.size > 0) this.startTurn();
    });
  }
}

/** The turns of this process. */
export const READ_TURNS = new ReadTurns();
