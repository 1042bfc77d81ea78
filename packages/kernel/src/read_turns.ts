/**
 * Reads large messages in turn. What one read brings may take long to parse, as
 * chunks may be of one byte each; if all connections with a large message were
 * read in each turn of the event loop, small requests would wait for seconds.
 */
import type {Socket} from 'node:net';

/** How many connections are read in one turn of those that have waited. */
const MAX_PER_TURN = 4;

/** Lets connections wait for their turn to be read. */
export class ReadTurns {
  /** In the order of their arrival. */
  private readonly waiting = new Set<Socket>();
  private readonly watched = new WeakSet<Socket>();

  /** Reads nothing from a connection until its turn. */
  pause(socket: Socket): void {
    if (socket.destroyed || this.waiting.has(socket)) return;
    this.watch(socket);
    if (this.waiting.size === 0) this.startTurn();
    this.waiting.add(socket);
    socket.pause();
  }

  private watch(socket: Socket): void {
    if (this.watched.has(socket)) return;
    this.watched.add(socket);
    // Node resumes the connection whenever a part of a message was read.
    socket.on('resume', () => {
      if (this.waiting.has(socket)) socket.pause();
    });
    socket.once('close', () => this.waiting.delete(socket));
  }

  private startTurn(): void {
    setImmediate(() => {
      this.resumeFirst();
      if (this.waiting.size > 0) this.startTurn();
    });
  }

  private resumeFirst(): void {
    let count = 0;
    for (const socket of this.waiting) {
      this.waiting.delete(socket);
      socket.resume();
      if (++count === MAX_PER_TURN) return;
    }
  }
}

/** The turns of this process. */
export const READ_TURNS = new ReadTurns();
