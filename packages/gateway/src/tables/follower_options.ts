/** Options of a table follower. */

/** How often a host reads one table of the store. */
export interface FollowerOptions {
  /** The time between two responses without changes to reader hosts, in ms. */
  readonly waitMs: number;
  /** The replica age from which this host polls the store itself, in ms. */
  readonly maxAgeMs: number;
  /** The least time between two calls to the store, in ms. */
  readonly paceMs: number;
  /** The time from a failed call to the next one, in ms. */
  readonly retryMs: number;
}
