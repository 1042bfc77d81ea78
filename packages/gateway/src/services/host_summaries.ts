/**
 * The hosts of the deployment as one of them knows them, for operators: which
 * live, who reads the store, and which configuration each was last heard to
 * have. What is wrong comes first.
 */
import type {HostRecord, HostStanding} from '@irisdock/decisions';
import type {TableRevisions} from '../model/peer_message.js';

/** What a host was last heard to have. */
export interface LastHeard {
  readonly revisions: TableRevisions;
  /** When it was heard, in ms. */
  readonly at: number;
}

/** One host. */
export interface HostSummary {
  readonly name: string;
  readonly failureDomain: string;
  readonly standing: HostStanding;
  readonly state: HostRecord['state'];
  readonly isStoreAway: boolean;
  /** `reader 0` and on, or `listener`. */
  readonly role: string;
  /** The highest revision of a change of the configuration that it has. */
  readonly configuration: number | undefined;
  /** How long ago it was heard; 0 for the host that shows. */
  readonly heardMs: number | undefined;
}

/** Orders the hosts: those with most faults first, then by name. */
export function sortHostSummaries(
  hosts: readonly HostSummary[],
): HostSummary[] {
  const newest = Math.max(0, ...hosts.map((host) => host.configuration ?? 0));
  return [...hosts].sort(
    (a, b) =>
      countFaults(b, newest) - countFaults(a, newest) ||
      (a.name < b.name ? -1 : 1),
  );
}

function countFaults(host: HostSummary, newest: number): number {
  const faults = [
    host.standing !== 'alive',
    host.state !== 'ready',
    host.isStoreAway,
    (host.configuration ?? 0) < newest,
  ];
  return faults.filter((isWrong) => isWrong).length;
}
