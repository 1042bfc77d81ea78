/**
 * How long a host that got no permit asks for none. Where the limit is low and
 * hosts are many, most questions bring nothing, and all go to one host: at 350
 * hosts that ask each 250 ms some 1,400 questions a second, 8% of a core there.
 * The pause grows with the hosts that ask, so that their questions together stay
 * at a pace that follows the limit.
 */

/** Questions a second from all hosts together at any limit, without a permit. */
const ASKS_PER_SECOND = 50;
/** The same for each request a second of the limit, so that it can be used. */
const ASKS_PER_PERMIT = 3;
/**
 * The longest pause where few hosts ask, in ms: a permit may come earlier than
 * was said, by a higher limit or one that other hosts left.
 */
const MOST_ALONE_MS = 250;
const MILLI = 1000;

/**
 * Computes the pause, in ms.
 *
 * @param askers Hosts that asked of late.
 * @param perSecond The whole limit, however many hosts hand it out.
 * @param waitMs Until the next permit, in ms.
 */
export function computePermitRetryDelayMs(
  askers: number,
  perSecond: number,
  waitMs: number,
): number {
  const pace = Math.max(ASKS_PER_SECOND, ASKS_PER_PERMIT * perSecond);
  const sharedMs = (askers * MILLI) / pace;
  return Math.max(sharedMs, Math.min(MOST_ALONE_MS, waitMs));
}
