/**
 * What is believed of the limit that an endpoint names: the requests a second
 * that it takes from all hosts together. Answers overlap, arrive late and at
 * several hosts, so each is dated such that the newer of two can be told: one
 * that names a limit by its arrival, one that names none by the moment at which
 * its request was sent. An answer without a limit that was asked for before the
 * limit was named thus never ends it; where two are in doubt the limit holds, and
 * the next answer settles it.
 */

/** A limit as an endpoint named it. */
export type AdvertisedLimit =
  | {readonly kind: 'rate'; readonly perSecond: number}
  /** It names one, and what it says is no rate. */
  | {readonly kind: 'unreadable'};

/** What an answer says of its endpoint's limit. */
export interface LimitReport {
  /** Requests a second from all hosts together; undefined without a limit. */
  readonly perSecond: number | undefined;
  /** From when on it holds, in ms by this host's clock. */
  readonly at: number;
}

/**
 * The least rate that is believed, in requests a second. One request in five
 * seconds goes to an endpoint that names less: only an answer can say that the
 * limit is over, and one in five seconds is no load.
 */
const LEAST_PER_SECOND = 0.2;
/** The highest rate that is told apart, in requests a second. */
const MOST_PER_SECOND = 1_000_000;
/**
 * What is believed of an endpoint whose limit cannot be read, in requests a
 * second. It is in need, so that it must not get all; and not to blame for its
 * spelling, so that it must get some.
 */
const UNREADABLE_PER_SECOND = 1;

/** Gives the rate to be kept for a limit, by what was believed before. */
export function computeEnforcedRate(
  named: AdvertisedLimit,
  before: number | undefined,
): number {
  if (named.kind === 'unreadable') return before ?? UNREADABLE_PER_SECOND;
  const {perSecond} = named;
  return Math.min(MOST_PER_SECOND, Math.max(LEAST_PER_SECOND, perSecond));
}

/** Whether a report is newer than what is believed. */
export function isNewerReport(
  report: LimitReport,
  known: LimitReport | undefined,
): boolean {
  return known === undefined || report.at > known.at;
}
