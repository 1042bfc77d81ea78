/**
 * The software versions of each service over time. A stream that a caller
 * resumes was begun in the past, perhaps by a version that no endpoint serves
 * any more. See docs/design/software_versions.md.
 */

/** Why the versions that a service had are not known, as a metric's label. */
export type PastDoubt =
  /** A release that kept no history may have served. */
  | 'earlier_release'
  /** A host that may have seen another version is not reached. */
  | 'host_missing'
  /** This process was stopped for a while and has not read the store since. */
  | 'host_paused'
  /** The history has no row of the service yet. */
  | 'no_first_row'
  /** Streams may have begun on routes that led to other services. */
  | 'routes_changed'
  /** The tables of this host are too old. */
  | 'tables_old'
  /** This process has not read the tables yet. */
  | 'tables_unread'
  /** Nothing confirmed the past after the stream was resumed. */
  | 'unconfirmed'
  /** Endpoints served whose version is not known. */
  | 'version_unknown';

/** The versions that may have begun a stream, or why they are not known. */
export type ServicePast =
  {readonly versions: readonly string[]} | {readonly doubt: PastDoubt};

/** Finds the software versions that a service had. */
export interface VersionHistory {
  /**
   * Lists the versions that may have begun a stream of a service that a caller
   * may resume now, those that serve now included; empty if it had none.
   *
   * @returns Undefined if this host does not know the past of the service.
   */
  listPossible(service: string): readonly string[] | undefined;
  /** Finds why the past of a service is not known; undefined if it is. */
  findDoubt(service: string): PastDoubt | undefined;
  /**
   * Reads the store anew, so that `listPossible` includes what began before
   * this call.
   *
   * @returns False if the store did not respond within a bounded time.
   */
  tryConfirm(): Promise<boolean>;
}
