/**
 * How often one host may write or read the origins of streams in the store. The
 * calls of all hosts together stay under a tenth of what a small deployment's
 * store takes, whatever the number of hosts.
 */

/** The calls of all hosts together, per second. */
const MAX_CALLS_PER_SECOND = 40;
/** The minimum time between two calls of one host, in ms. */
const MIN_INTERVAL_MS = 250;
const MS_PER_SECOND = 1000;

/**
 * Computes the minimum time between two calls of one host, in ms.
 *
 * @param hosts The number of live hosts, this one included.
 */
export function computeOriginIntervalMs(hosts: number): number {
  const sharedMs = (hosts * MS_PER_SECOND) / MAX_CALLS_PER_SECOND;
  return Math.max(MIN_INTERVAL_MS, sharedMs);
}
