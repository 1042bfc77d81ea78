/** Weighted random choice among shares of requests. */

/** A share of the requests; a share with weight 0 gets none. */
export interface Share {
  readonly weight: number;
}

/**
 * Chooses a share; undefined if no weight is above 0.
 *
 * @param point A position within the sum of the weights, from 0 to below 1.
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
