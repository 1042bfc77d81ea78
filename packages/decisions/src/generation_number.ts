/**
 * Generation numbers order the attempts to run a request. A host that takes a
 * request over uses higher numbers than the host before it, whatever that host
 * does in the meantime. Each further attempt of a host uses a higher number.
 */

const ATTEMPTS_PER_TAKEOVER = 2 ** 20;

/**
 * Creates a generation number.
 *
 * @param takeovers How often another host has taken the request over.
 * @param attempt The number of the attempt of this host, from 1.
 */
export function createGenerationNumber(
  takeovers: number,
  attempt: number,
): number {
  return takeovers * ATTEMPTS_PER_TAKEOVER + attempt;
}

/** Returns how often the request had been taken over. */
export function getTakeoverCount(generation: number): number {
  return Math.floor(generation / ATTEMPTS_PER_TAKEOVER);
}
