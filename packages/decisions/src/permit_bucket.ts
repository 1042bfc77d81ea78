/**
 * A token bucket that grants permits to send to one endpoint at the rate limit
 * that it advertised. One host holds the bucket for all hosts, so the total
 * stays within the limit for any number of hosts: with a bucket of one permit
 * on each of 350 hosts, 350 requests could be sent at once where 23 are allowed
 * in four seconds.
 *
 * Permits accumulate only up to a small burst, so a pause, a frozen host or a
 * time without requests isn't made up for later. The sends in any time span are
 * at most the rate times that span, plus the burst, plus what started answers
 * may borrow.
 */

/** The priorities of sends, the most urgent first. */
export const SEND_PRIORITIES = ['begun', 'usual', 'aside'] as const;
/**
 * What a send is for. `begun`: continues an answer of which the caller has
 * received a part. `usual`: a caller's request. `aside`: work that can wait,
 * such as copying a run's KV cache, or probing whether an endpoint still works
 * on a request.
 */
export type SendPriority = (typeof SEND_PRIORITIES)[number];

/** A number of sends for each priority. */
export type SendCounts = Readonly<Record<SendPriority, number>>;

/** No sends of any priority. */
export const NO_SENDS: SendCounts = {begun: 0, usual: 0, aside: 0};

/** The permits that a bucket granted. */
export interface PermitGrant {
  readonly granted: SendCounts;
  /** The time until the next permit for a usual send, in ms. */
  readonly waitMs: number;
}

/** Permits that may accumulate at any rate. */
const BURST = 2;
/** Further permits that may accumulate, in seconds at the current rate. */
const BURST_SECONDS = 0.2;
/**
 * Future permits that started answers may borrow: a caller that has received a
 * part of its answer suffers more from a wait than one that has received none.
 */
const MOST_BORROWED = 2;
/** The permits that must be left after a grant of each priority. */
const LEAST_LEFT: Readonly<Record<SendPriority, number>> = {
  begun: -MOST_BORROWED,
  usual: 0,
  aside: 1,
};
const MILLI = 1000;

/** The bucket of permits of one endpoint. */
export class PermitBucket {
  private tokens = 0;

  /**
   * Creates an empty bucket: the host that held it before may have granted all
   * permits.
   *
   * @param filledAt The current time, in ms.
   */
  constructor(private filledAt: number) {}

  /** Takes up to the wanted number of permits. */
  take(wanted: SendCounts, perSecond: number, now: number): PermitGrant {
    this.update(perSecond, now);
    const granted = {...NO_SENDS};
    for (const use of SEND_PRIORITIES) {
      const free = Math.floor(this.tokens - LEAST_LEFT[use]);
      granted[use] = Math.max(0, Math.min(wanted[use], free));
      this.tokens -= granted[use];
    }
    const missing = Math.max(0, 1 - this.tokens);
    return {granted, waitMs: (missing * MILLI) / perSecond};
  }

  private update(perSecond: number, now: number): void {
    const max = BURST + BURST_SECONDS * perSecond;
    const passedMs = Math.max(0, now - this.filledAt);
    this.filledAt = Math.max(now, this.filledAt);
    this.tokens = Math.min(max, this.tokens + (passedMs * perSecond) / MILLI);
  }
}
