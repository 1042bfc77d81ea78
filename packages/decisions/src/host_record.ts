/**
 * What hosts tell each other of one host. Only the host itself makes a new
 * record of itself; others pass records on, and may add that they suspect it.
 */

/** Where a host is in its life. */
export type HostState = 'leaving' | 'ready' | 'starting';

/** One record of one host. */
export interface HostRecord {
  readonly name: string;
  /** Higher after each start of the host. */
  readonly incarnation: number;
  /** Rises with each record that the host makes of itself in one life. */
  readonly version: number;
  readonly state: HostState;
  /** Whether the store failed this host a moment ago. */
  readonly isStoreAway: boolean;
}

/** What one host tells another of a third one, or of itself. */
export interface HostUpdate<P> {
  readonly record: HostRecord;
  /** Whether the host did not answer when it was last asked. */
  readonly isSuspected: boolean;
  /** Where the host is reached; left out where it is known already. */
  readonly place: P | undefined;
}

/** Orders two records of one host; above 0 when the first is newer. */
export function compareRecords(a: HostRecord, b: HostRecord): number {
  return a.incarnation - b.incarnation || a.version - b.version;
}
