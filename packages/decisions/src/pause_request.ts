/**
 * The pause that an overloaded endpoint asks for when it rejects a request:
 * until when a host sends it nothing. A later request extends a pause and never
 * shortens it, as answers may arrive out of order.
 */

/** A pause as an endpoint asked for it. */
export type PauseRequest =
  | {readonly kind: 'delay'; readonly ms: number}
  /** What it asked for is no time. */
  | {readonly kind: 'unreadable'};

/** The longest pause, in ms; an endpoint that is lost for longer is replaced. */
export const MAX_PAUSE_MS = 600_000;
/** The pause of an endpoint whose request cannot be read, in ms. */
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

/** Callers that were refused come back over so long after the pause, in ms. */
const RETURN_SPREAD_MS = 500;

/**
 * Gives when a caller may come back that was refused in a pause, in ms from now.
 *
 * @param part A random part, from 0 to 1.
 */
export function computePauseReturnMs(
  end: number,
  now: number,
  part: number,
): number {
  return Math.max(0, end - now) + RETURN_SPREAD_MS * part;
}
