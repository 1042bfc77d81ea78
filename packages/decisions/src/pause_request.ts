/**
 * Pauses that an overloaded endpoint requests when it rejects a request
 * (`Retry-After`): hosts send it nothing until the pause ends. A later response
 * may extend a pause but never shortens it, as responses may arrive out of
 * order.
 */

/** A pause as an endpoint requested it. */
export type PauseRequest =
  | {readonly kind: 'delay'; readonly ms: number}
  /** The requested value isn't a time. */
  | {readonly kind: 'unreadable'};

/** Upper bound of a pause, in ms; limits the harm of a wrong value. */
export const MAX_PAUSE_MS = 600_000;
/** The pause for a value that isn't a time, in ms. */
export const UNREADABLE_PAUSE_MS = 1000;

/**
 * Computes the end of a pause, in ms by the host's clock.
 *
 * @param receivedAt When the response that requested it arrived.
 * @param knownEnd The end of the current pause; undefined without one.
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

/** Jitter that spreads the retries of rejected callers after a pause, in ms. */
const RETRY_JITTER_MS = 500;

/**
 * Computes the retry delay of a caller that was rejected during a pause, in ms.
 *
 * @param random A random number from 0 to 1.
 */
export function computeRetryDelayMs(
  end: number,
  now: number,
  random: number,
): number {
  return Math.max(0, end - now) + RETRY_JITTER_MS * random;
}
