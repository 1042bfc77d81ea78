/**
 * Generation numbers order the runs of one request. A host that takes a
 * request over uses higher numbers than the host before it, whatever that one
 * does meanwhile, and each new attempt of a host uses a higher one again.
 */

const ATTEMPTS = 2 ** 20;

/** Gives the number of an attempt (from 1) after so many take-overs. */
export function createGenerationNumber(
  takeover: number,
  attempt: number,
): number {
  return takeover * ATTEMPTS + attempt;
}

/** Gives how many hosts had taken the request over at that number. */
export function getTakeoverCount(generation: number): number {
  return Math.floor(generation / ATTEMPTS);
}
