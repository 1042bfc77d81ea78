/** Connections that are not read until their turn, in the order of arrival. */
import type {Socket} from 'node:net';

/** Keeps connections paused. */
export class PausedSockets {
  private readonly waiting = new Set<Socket>();
  private readonly watched = new WeakSet<Socket>();

  /** How many connections wait. */
  get size(): number {
    return this.waiting.size;
  }

  /** Pauses a connection; false if it waits already, or is closed. */
  add(socket: Socket): boolean {
    if (socket.destroyed || this.waiting.has(socket)) return false;
    this.watch(socket);
    this.waiting.add(socket);
    socket.pause();
    return true;
  }

  /** Resumes a connection if it waits. */
  release(socket: Socket): void {
    if (this.waiting.delete(socket)) socket.resume();
  }

  /** Resumes those that have waited longest. */
  resumeFirst(count: number): void {
    let left = count;
    for (const socket of this.waiting) {
      this.release(socket);
      if (--left === 0) return;
    }
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
}
