/** How a copy of a table is kept young. */

/** How a table is followed. */
export interface FollowerOptions {
  /** The time between two answers to readers of the store while it is calm, in ms. */
  readonly waitMs: number;
  /** The age from which this host asks the store itself, in ms. */
  readonly maxAgeMs: number;
  /** The least time between two calls, in ms. */
  readonly paceMs: number;
  /** The time after a failed call, in ms. */
  readonly retryMs: number;
}
