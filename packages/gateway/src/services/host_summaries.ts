/**
 * The hosts of the deployment as one of them knows them, for operators: which
 * are alive, which read the store, and which configuration each has according
 * to its last message. Hosts with faults come first.
 */
import type {HostCapacity, HostRecord, HostStanding} from '@irisdock/decisions';
import type {TableRevisions} from '../model/peer_message.js';

/** The revisions that a host last sent. */
export interface LastHeard {
  readonly revisions: TableRevisions;
  /** When they arrived, in ms by this host's clock. */
  readonly at: number;
}

/** The state of one host, as shown to operators under these field names. */
export interface HostSummary {
  readonly name: string;
  readonly failureDomain: string;
  /** Undefined without regions. */
  readonly region: string | undefined;
  /** Undefined if the host tells none. */
  readonly capacity: HostCapacity | undefined;
  readonly standing: HostStanding;
  readonly state: HostRecord['state'];
  readonly isStoreAway: boolean;
  /** `reader 0`, `reader 1` and so on for store readers, else `listener`. */
  readonly role: string;
  /** The latest configuration revision that the host has. */
  readonly configuration: number | undefined;
  /** How long ago it was last heard from, in ms; 0 for the answering host. */
  readonly heardMs: number | undefined;
}

/** Sorts hosts by descending number of faults, then by name. */
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
  return faults.filter((isFault) => isFault).length;
}
