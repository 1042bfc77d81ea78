/**
 * Rate limits that endpoints advertise in their responses: the requests per
 * second that an endpoint accepts from all hosts together. Responses overlap
 * and arrive late at several hosts, so each is timestamped to order them: one
 * with a limit by its arrival, one without by the time its request was sent. A
 * response without a limit whose request was sent before the limit was
 * advertised therefore never lifts it. If the order is ambiguous, the limit
 * stays until the next response.
 */

/** A limit as an endpoint advertised it. */
export type AdvertisedLimit =
  | {readonly kind: 'rate'; readonly perSecond: number}
  /** The advertised value isn't a rate. */
  | {readonly kind: 'unreadable'};

/** What a response says about its endpoint's limit. */
export interface LimitReport {
  /** Requests per second from all hosts together; undefined without a limit. */
  readonly perSecond: number | undefined;
  /** From when on the report holds, in ms by this host's clock. */
  readonly at: number;
}

/**
 * Lower bound of an enforced rate, in requests per second. An endpoint that
 * advertises less still gets one request in five seconds, which is hardly any
 * load: only a response can tell that the limit was lifted.
 */
const MIN_PER_SECOND = 0.2;
/** Upper bound of an enforced rate, in requests per second. */
const MAX_PER_SECOND = 1_000_000;
/**
 * The rate for an endpoint whose limit can't be parsed, in requests per second.
 * The endpoint is overloaded, so it must not get everything; a malformed header
 * must not cut it off either.
 */
const UNREADABLE_PER_SECOND = 1;

/**
 * Computes the rate to enforce for an advertised limit.
 *
 * @param before The rate enforced so far; undefined without one.
 */
export function computeEnforcedRate(
  limit: AdvertisedLimit,
  before: number | undefined,
): number {
  if (limit.kind === 'unreadable') return before ?? UNREADABLE_PER_SECOND;
  const {perSecond} = limit;
  return Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond));
}

/** Tells whether a report is newer than the known one. */
export function isNewerReport(
  report: LimitReport,
  known: LimitReport | undefined,
): boolean {
  return known === undefined || report.at > known.at;
}
