/** Splits requests by weight. */

/** One of several shares; a weight of 0 gets nothing. */
export interface Share {
  readonly weight: number;
}

/**
 * Chooses a share.
 *
 * @param point Where in the sum of the weights, from 0 up to 1.
 */
export function chooseShare<S extends Share>(
  shares: readonly S[],
  point: number,
): S | undefined {
  let sum = 0;
  for (const {weight} of shares) sum += weight;
  let left = point * sum;
  for (const share of shares) {
    if (share.weight <= 0) continue;
    left -= share.weight;
    if (left < 0) return share;
  }
  return undefined;
}
