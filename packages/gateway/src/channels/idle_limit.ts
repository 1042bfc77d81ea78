/**
 * The longest time that a caller's connection may stay idle, whatever arrives
 * on it but a request. Up to Node 20.19, any byte stops the idle timer of the
 * connection's own, and a line break before a request is under no other limit.
 */
import type {Socket} from 'node:net';

/** Closes one connection if no request follows its last response. */
export class IdleLimit {
  private timer: NodeJS.Timeout | undefined;
  private check: NodeJS.Immediate | undefined;

  constructor(private readonly socket: Socket) {
    socket.once('close', () => {
      this.stop();
    });
  }

  /** Starts the time limit anew, in ms. */
  start(ms: number): void {
    this.stop();
    if (this.socket.destroyed) return;
    this.timer = setTimeout(() => {
      this.checkReads(ms);
    }, ms);
    this.timer.unref();
  }

  /** Stops the time limit, as a request arrived. */
  stop(): void {
    clearTimeout(this.timer);
    clearImmediate(this.check);
  }

  /**
   * Closes the connection unless something is read meanwhile: after a pause of
   * the process, timers run before what has arrived is read.
   */
  private checkReads(ms: number): void {
    const bytesBefore = this.socket.bytesRead;
    this.check = setImmediate(() => {
      if (this.socket.bytesRead === bytesBefore) this.socket.destroy();
      else this.start(ms);
    });
  }
}
