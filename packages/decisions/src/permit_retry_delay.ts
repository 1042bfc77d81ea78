/**
 * Computes how long a host waits before it asks again for a permit to send a
 * request to a rate-limited endpoint. If the limit is low and hosts are many,
 * most requests for permits are denied, and all of them go to one host: 350
 * hosts that ask every 250 ms send it 1,400 a second, which takes 8% of a core.
 * The delay therefore grows with the number of asking hosts, so that their
 * total rate depends only on the limit.
 */

/** Minimum total rate of permit requests of all hosts, per second. */
const MIN_ASKS_PER_SECOND = 50;
/** Permit requests for each permit of the limit, so that it can be used up. */
const ASKS_PER_PERMIT = 3;
/**
 * The maximum delay if few hosts ask, in ms. A permit may be available earlier
 * than expected, because the limit was raised or other hosts left some unused.
 */
const MAX_DELAY_OF_FEW_MS = 250;
const MS_PER_SECOND = 1000;

/**
 * Computes the delay, in ms.
 *
 * @param askers The number of hosts that asked recently.
 * @param perSecond The whole limit, however many hosts issue its permits.
 * @param waitMs The expected time until the next permit, in ms.
 */
export function computePermitRetryDelayMs(
  askers: number,
  perSecond: number,
  waitMs: number,
): number {
  const asksPerSecond = Math.max(
    MIN_ASKS_PER_SECOND,
    ASKS_PER_PERMIT * perSecond,
  );
  const sharedMs = (askers * MS_PER_SECOND) / asksPerSecond;
  return Math.max(sharedMs, Math.min(MAX_DELAY_OF_FEW_MS, waitMs));
}
