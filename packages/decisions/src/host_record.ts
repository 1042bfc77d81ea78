/**
 * The state of a host as hosts exchange it. Only the host itself creates new
 * records of itself. Other hosts forward records, and may add that they suspect
 * the host of having failed.
 */

/** The lifecycle state of a host. */
export type HostState = 'leaving' | 'ready' | 'starting';

/** The state of one host, as published by that host. */
export interface HostRecord {
  readonly name: string;
  /** Increases with each start of the host. */
  readonly incarnation: number;
  /** Increases with each record of the same incarnation. */
  readonly version: number;
  readonly state: HostState;
  /** Whether the host currently fails to reach the store. */
  readonly isStoreAway: boolean;
  /**
   * Whether the host's calls for singleton tasks fail, so that it is none of
   * their candidates. Absent unless true: most deployments have no tasks.
   */
  readonly isTaskExcluded?: boolean | undefined;
}

/** What a host changes in its own record. */
export type OwnHostState = Pick<
  HostRecord,
  'isStoreAway' | 'isTaskExcluded' | 'state'
>;

/**
 * What one host tells another about a third host, or about itself.
 *
 * @template P The network addresses and the failure domain of a host.
 */
export interface HostUpdate<P> {
  readonly record: HostRecord;
  /** Whether the host failed to answer its last probe. */
  readonly isSuspected: boolean;
  /** Where to reach the host; undefined if the receiver knows it already. */
  readonly place: P | undefined;
}

/** Whether a live host with this record may hold singleton tasks. */
export function isTaskHost(record: HostRecord): boolean {
  const {state, isStoreAway, isTaskExcluded} = record;
  return state === 'ready' && !isStoreAway && isTaskExcluded !== true;
}

/** Orders two records of one host; positive if the first is newer. */
export function compareRecords(a: HostRecord, b: HostRecord): number {
  return a.incarnation - b.incarnation || a.version - b.version;
}
