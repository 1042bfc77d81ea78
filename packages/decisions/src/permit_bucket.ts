/**
 * Hands out permits for sends to one endpoint at the rate that it named. One host
 * holds the bucket for all hosts, so that the sum is kept however many they are:
 * at 350 hosts, a bucket of one permit each would let 350 requests through at once
 * where 23 may come in four seconds.
 *
 * Permits gather only up to a small burst, so that a pause, a frozen host or a
 * quiet hour leaves nothing to be made up for. What comes in any span of time is
 * at most the rate times that span, the burst, and what begun answers may borrow.
 */

/** What a send is for, the most urgent first. */
export const SEND_PRIORITIES = ['begun', 'usual', 'aside'] as const;
/**
 * `begun`: goes on with an answer of which a caller has a part. `usual`: a caller's
 * request. `aside`: what callers can do without for a while, such as a copy of a
 * run's memory, or the question whether an endpoint still works on a request.
 */
export type SendPriority = (typeof SEND_PRIORITIES)[number];

/** A number of sends of each use. */
export type SendCounts = Readonly<Record<SendPriority, number>>;

/** No send of any use. */
export const NO_SENDS: SendCounts = {begun: 0, usual: 0, aside: 0};

/** What a bucket gave. */
export interface PermitGrant {
  readonly granted: SendCounts;
  /** Until the next permit for a usual send, in ms. */
  readonly waitMs: number;
}

/** Permits that gather at any rate. */
const BURST = 2;
/** Permits that gather besides, as the time in which they would be used, in s. */
const BURST_SECONDS = 0.2;
/**
 * Permits that begun answers borrow from what comes: a caller that has a part of
 * its answer loses more by a wait than one that has none.
 */
const MOST_BORROWED = 2;
/** What has to be left for each use once its permit is taken. */
const LEAST_LEFT: Readonly<Record<SendPriority, number>> = {
  begun: -MOST_BORROWED,
  usual: 0,
  aside: 1,
};
const MILLI = 1000;

/** One endpoint's permits. */
export class PermitBucket {
  private tokens = 0;

  /** It starts empty: whoever held it before may have given all. */
  constructor(private filledAt: number) {}

  /** Gives permits, as far as there are any. */
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
    const most = BURST + BURST_SECONDS * perSecond;
    const passedMs = Math.max(0, now - this.filledAt);
    this.filledAt = Math.max(now, this.filledAt);
    this.tokens = Math.min(most, this.tokens + (passedMs * perSecond) / MILLI);
  }
}
