/**
 * How soon an engine takes a stream among those that wait there. A stream that
 * goes on has a caller who has waited already: through a pause that should
 * stay short, or, when it comes again after the loss of a host, through most
 * of its time. It goes before streams that have their whole time left.
 */

/** How soon, on the scale of engines: 0 goes first, 9 last. */
export type Urgency = number;

/** What engines take a request for that says nothing. */
export const USUAL_URGENCY: Urgency = 5;
/** Leaves room before it for what operators rank higher. */
export const GOES_ON_URGENCY: Urgency = 2;

/**
 * Decides the urgency of a send.
 *
 * @param lastEventId The last event that the caller has; undefined when the
 *     stream begins.
 */
export function decideUrgency(lastEventId: number | undefined): Urgency {
  return lastEventId === undefined ? USUAL_URGENCY : GOES_ON_URGENCY;
}
