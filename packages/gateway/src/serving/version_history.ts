/**
 * The software versions of each service over time. A stream that a caller
 * resumes was begun in the past, perhaps by a version that no endpoint serves
 * any more. See docs/design/software_versions.md.
 */

/** Finds the software versions that a service had. */
export interface VersionHistory {
  /**
   * Lists the versions that may have begun a stream of a service that a caller
   * may resume now, those that serve now included; empty if it had none.
   *
   * @returns Undefined if this host does not know the past of the service.
   */
  listPossible(service: string): readonly string[] | undefined;
  /**
   * Reads the store anew, so that `listPossible` includes what began before
   * this call.
   *
   * @returns False if the store did not respond within a bounded time.
   */
  tryConfirm(): Promise<boolean>;
}
