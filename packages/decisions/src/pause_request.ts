/**
 * The pause that an overloaded endpoint requests when it rejects a request
 * (`Retry-After`): until when a host sends it nothing. A later answer extends a
 * pause and never shortens it, as answers may arrive out of order.
 */

/** A pause as an endpoint requested it. */
export type PauseRequest =
  | {readonly kind: 'delay'; readonly ms: number}
  /** The requested value is not a time. */
  | {readonly kind: 'unreadable'};

/** Upper bound of a pause, in ms; limits the harm of a wrong value. */
export const MAX_PAUSE_MS = 600_000;
/** The pause for a value that is not a time, in ms. */
export const UNREADABLE_PAUSE_MS = 1000;

/**
 * Gives the end of a pause, in ms by the host's clock.
 *
 * @param receivedAt When the request for it arrived.
 * @param knownEnd The end of the pause in force; undefined without one.
 */
export function computePauseEnd(
  request: PauseRequest,
  receivedAt: number,
  knownEnd: number | undefined,
): number {
  const askedMs = request.kind === 'delay' ? request.ms : UNREADABLE_PAUSE_MS;
  const end = receivedAt + Math.min(askedMs, MAX_PAUSE_MS);
  return Math.max(end, knownEnd ?? end);
}

/** Spreads the retries of rejected callers after the pause, in ms. */
const RETURN_SPREAD_MS = 500;

/**
 * Gives the retry delay of a caller that was rejected during a pause, in ms.
 *
 * @param part A random part, from 0 to 1.
 */
export function computeRetryDelayMs(
  end: number,
  now: number,
  part: number,
): number {
  return Math.max(0, end - now) + RETURN_SPREAD_MS * part;
}
