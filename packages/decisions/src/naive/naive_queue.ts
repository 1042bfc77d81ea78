/** The naive queue: first come, first served, refused when full. */
import type {OfferResult, QueuedRequest} from '../fair_queue.js';

/** Requests in the order of their arrival. */
export class NaiveQueue {
  private readonly waiters: QueuedRequest[] = [];

  constructor(private readonly maxCount: () => number) {}

  get size(): number {
    return this.waiters.length;
  }

  offer(waiter: QueuedRequest): OfferResult {
    if (this.waiters.length >= this.maxCount()) return {outcome: 'refused'};
    this.waiters.push(waiter);
    return {outcome: 'waits'};
  }

  take(): QueuedRequest | undefined {
    return this.waiters.shift();
  }
}
