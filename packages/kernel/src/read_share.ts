/**
 * Bounds the part of a process's time that costly messages take together. They
 * are read one at a time, and after each read the next one waits for a multiple
 * of the time that it took. libuv reads a connection up to 32 times in a row
 * while bytes arrive, so that one fast sender could hold up all others for as
 * long as it takes to handle two megabytes.
 */
import type {Socket} from 'node:net';
import {PausedSockets} from './paused_sockets.js';

/** The pause after a read, as a multiple of its time: a quarter is used. */
const PAUSE_FACTOR = 3;
/** The least time between two turns, in ms. */
const MIN_PAUSE_MS = 1;

/** Lets connections wait until a bounded part of the time allows a read. */
export class ReadShare {
  private readonly paused = new PausedSockets();
  /** When the next connection may be read, on the clock of the process. */
  private nextAt = 0;
  private timer: NodeJS.Timeout | undefined;

  /** @param getNow Gives the monotonic time in ms. */
  constructor(private readonly getNow = () => performance.now()) {}

  /**
   * Reads nothing from a connection until its turn.
   *
   * @param spentMs The time that its last read took to handle.
   */
  pause(socket: Socket, spentMs: number): void {
    const from = Math.max(this.nextAt, this.getNow());
    this.nextAt = from + spentMs * PAUSE_FACTOR;
    if (this.paused.add(socket)) this.planTurn();
  }

  /** Reads a connection on at once if it waits. */
  release(socket: Socket): void {
    this.paused.release(socket);
  }

  private planTurn(): void {
    if (this.timer !== undefined || this.paused.size === 0) return;
    const pauseMs = Math.max(MIN_PAUSE_MS, this.nextAt - this.getNow());
    this.timer = setTimeout(() => {
      this.timer = undefined;
      if (this.getNow() >= this.nextAt) this.paused.resumeFirst(1);
      this.planTurn();
    }, pauseMs);
  }
}

/** The share of this process. */
export const READ_SHARE = new ReadShare();
