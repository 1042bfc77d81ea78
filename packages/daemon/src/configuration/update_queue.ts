/**
 * A queue between a stream of news and one slow reader, such as another host
 * or a watching operator. It is bounded: a reader that falls too far behind
 * is cut and begins again.
 */
import type {Stream} from 'most';

/** News waiting for one reader. */
export class UpdateQueue<T> {
  private readonly items: T[] = [];
  private wake: (() => void) | undefined;
  private overflown = false;

  constructor(private readonly maxItems: number) {}

  /** Whether the reader fell too far behind. */
  get hasOverflowed(): boolean {
    return this.overflown;
  }

  /** Adds what a stream brings, until the signal is aborted. */
  readFrom(stream: Stream<T>, signal: AbortSignal): void {
    const subscription = stream.subscribe({
      next: (item) => {
        this.add(item);
      },
      error: () => undefined,
      complete: () => undefined,
    });
    signal.addEventListener('abort', () => {
      subscription.unsubscribe();
      this.wake?.();
    });
  }

  /** Adds one item. */
  add(item: T): void {
    if (this.items.length >= this.maxItems) this.overflown = true;
    else this.items.push(item);
    this.wake?.();
  }

  /** Takes all items; waits for the first until `maxMs` or the abort. */
  async takeAll(maxMs: number, signal: AbortSignal): Promise<T[]> {
    if (this.items.length === 0 && !this.overflown && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, maxMs);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
      this.wake = undefined;
    }
    return this.items.splice(0);
  }
}
