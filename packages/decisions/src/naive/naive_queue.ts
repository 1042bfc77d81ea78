/**
 * Baseline that `FairQueue` is compared with: first come, first served, with
 * requests refused if the queue is full.
 */
import type {OfferResult, QueuedRequest} from '../fair_queue.js';

/** A bounded queue in the order of arrival. */
export class NaiveQueue {
  private readonly requests: QueuedRequest[] = [];

  constructor(private readonly maxCount: () => number) {}

  get size(): number {
    return this.requests.length;
  }

  offer(request: QueuedRequest): OfferResult {
    if (this.requests.length >= this.maxCount()) return {outcome: 'refused'};
    this.requests.push(request);
    return {outcome: 'waits'};
  }

  take(): QueuedRequest | undefined {
    return this.requests.shift();
  }
}
