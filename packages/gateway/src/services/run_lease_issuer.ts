/**
 * Grants leases on runs of suspected contents. Each content has one issuer
 * among the live hosts, chosen by rendezvous hashing. A host that becomes the
 * issuer grants no lease until the holders of earlier ones had time to renew
 * them with it.
 */
import {RUN_LEASE_MS, RunLeaseTable, sortIssuers} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {
  LeaseResponseDatagram,
  LeaseRequestDatagram,
  LeasedRun,
} from '../model/run_lease_datagram.js';
import type {CrashRecords} from '../serving/crash_records.js';
import type {Peers} from './peer_hosts.js';

/** Dependencies of the issuer. */
export interface RunLeaseIssuerParts {
  readonly ownName: string;
  readonly peers: Pick<Peers, 'listReadyNames' | 'recordsHash'>;
  readonly crashes: Pick<CrashRecords, 'listCrashes'>;
  readonly clock: Clock;
}

/** Grants leases on the contents whose issuer this host is. */
export class RunLeaseIssuer {
  private readonly table = new RunLeaseTable();
  private recordsHash: number | undefined;
  private names: readonly string[] = [];
  /**
   * The hosts before the first change within the last lease duration; none if
   * they are not known.
   */
  private earlierNames: readonly string[] = [];
  /** A host that has just started does not know which leases are held. */
  private hostsChangedAt: number;

  constructor(private readonly parts: RunLeaseIssuerParts) {
    this.hostsChangedAt = parts.clock.getNow();
  }

  /** Finds the issuer of a content; undefined when no host is ready. */
  findIssuer(content: string): string | undefined {
    this.updateHosts();
    return sortIssuers(content, this.names)[0];
  }

  /** Answers a request or a renewal. */
  decide(request: LeaseRequestDatagram): LeaseResponseDatagram {
    const {crashes, clock} = this.parts;
    const {content, number, isRenewal} = request;
    const now = clock.getNow();
    const holder = formatRun(request);
    const {isGranted, waitMs} = this.isGrantable(content, isRenewal, now)
      ? this.table.acquire(content, holder, now)
      : this.table.addWaiter(content, holder, now);
    const known = isGranted ? crashes.listCrashes(content) : [];
    const instanceIds = known.map(({instanceId}) => instanceId);
    return {kind: 'lease-answer', number, isGranted, waitMs, instanceIds};
  }

  /** Ends a lease. */
  release(run: LeasedRun): void {
    this.table.release(run.content, formatRun(run));
  }

  /** Removes expired leases and updates the known hosts. */
  dropExpired(): void {
    this.updateHosts();
    this.table.dropExpired(this.parts.clock.getNow());
  }

  private isGrantable(
    content: string,
    isRenewal: boolean,
    now: number,
  ): boolean {
    const {ownName} = this.parts;
    if (this.findIssuer(content) !== ownName) return false;
    if (isRenewal || now - this.hostsChangedAt >= RUN_LEASE_MS) return true;
    return sortIssuers(content, this.earlierNames)[0] === ownName;
  }

  private updateHosts(): void {
    const {peers, clock} = this.parts;
    if (peers.recordsHash === this.recordsHash) return;
    this.recordsHash = peers.recordsHash;
    const names = peers.listReadyNames().sort();
    if (names.join() === this.names.join()) return;
    const previous = this.names;
    this.names = names;
    if (previous.length === 0) {
      this.earlierNames = names.length === 1 ? names : [];
      return;
    }
    const now = clock.getNow();
    const isSettled = now - this.hostsChangedAt >= RUN_LEASE_MS;
    // While this host knew no other one, they had another issuer.
    if (previous.length === 1) this.earlierNames = [];
    else if (isSettled) this.earlierNames = previous;
    this.hostsChangedAt = now;
  }
}

function formatRun({name, incarnation, run}: LeasedRun): string {
  return `${name}/${incarnation}/${run}`;
}
