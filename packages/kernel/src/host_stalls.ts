/**
 * Measures how long this process stood still: it had no processor, was stopped,
 * or its event loop was blocked. Such a time says nothing about the peers that
 * this process waits for, as it read none of their answers.
 *
 * A timer of a fixed period shows the stalls by how late it fires. It runs only
 * while somebody watches, so an idle process is not woken. A stall is measured
 * from the next time the timer is due, so each may be up to one period longer.
 */
import {performance} from 'node:perf_hooks';

/** The period of the timer, in ms. */
const PERIOD_MS = 20;
/** Less than this is the usual lateness of a timer on a busy host, in ms. */
const MIN_STALL_MS = 50;

/** Measures the stalls of this process. */
export class HostStalls {
  private watchers = 0;
  private timer: NodeJS.Timeout | undefined;
  private dueAt = 0;
  private recordedMs = 0;

  /** @param getNow Milliseconds on a monotonic clock. */
  constructor(
    private readonly getNow: () => number = () => performance.now(),
  ) {}

  /** Measures until the returned function is called. */
  watch(): () => void {
    this.watchers++;
    this.start();
    let isWatching = true;
    return () => {
      if (!isWatching) return;
      isWatching = false;
      this.watchers--;
      if (this.watchers === 0) this.stop();
    };
  }

  /**
   * Returns how long this process stood still while it was watched, in ms. The
   * difference of two values is the time that it was stopped between them.
   */
  getStalledMs(): number {
    return this.recordedMs + this.getLateMs();
  }

  private start(): void {
    if (this.timer !== undefined) return;
    this.dueAt = this.getNow() + PERIOD_MS;
    this.timer = setInterval(() => {
      this.recordLateness();
    }, PERIOD_MS);
    this.timer.unref();
  }

  private stop(): void {
    this.recordedMs = this.getStalledMs();
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private recordLateness(): void {
    this.recordedMs = this.getStalledMs();
    this.dueAt = this.getNow() + PERIOD_MS;
  }

  private getLateMs(): number {
    if (this.timer === undefined) return 0;
    const lateMs = this.getNow() - this.dueAt;
    return lateMs < MIN_STALL_MS ? 0 : lateMs;
  }
}
