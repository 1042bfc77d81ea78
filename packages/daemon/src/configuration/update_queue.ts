/**
 * A bounded queue between a stream of updates and one slow reader, such as
 * another host or an operator's watch. After an overflow the reader is
 * disconnected and has to start over.
 */
import type {Stream} from 'most';

/** The queued updates for one reader. */
export class UpdateQueue<T> {
  private readonly items: T[] = [];
  private wake: (() => void) | undefined;
  private overflowed = false;

  constructor(private readonly maxItems: number) {}

  /** Whether an update was dropped because the queue was full. */
  get hasOverflowed(): boolean {
    return this.overflowed;
  }

  /** Adds all items of a stream until the signal is aborted. */
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

  /** Adds an item, or marks the queue as overflowed if it is full. */
  add(item: T): void {
    if (this.items.length >= this.maxItems) this.overflowed = true;
    else this.items.push(item);
    this.wake?.();
  }

  /** Takes all items; if there are none, waits up to `maxMs` for the first. */
  async takeAll(maxMs: number, signal: AbortSignal): Promise<T[]> {
    if (this.items.length === 0 && !this.overflowed && !signal.aborted) {
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
