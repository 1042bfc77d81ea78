/**
 * Grants leases on runs of suspected contents. Each content has one issuer among
 * the hosts that are alive, found by hashing. A host that becomes the issuer grants
 * nothing until the holders of earlier leases had time to renew them with it.
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

/** This host's part in granting leases. */
export class RunLeaseIssuer {
  private readonly table = new RunLeaseTable();
  private recordsHash: number | undefined;
  private names: readonly string[] = [];
  /** The hosts before the first change within the last lease time. */
  private earlierNames: readonly string[] = [];
  private changedAt = -Infinity;

  constructor(private readonly parts: RunLeaseIssuerParts) {}

  /** Finds the issuer of a content; undefined when no host is alive. */
  findIssuer(content: string): string | undefined {
    this.updateHosts();
    return sortIssuers(content, this.names)[0];
  }

  /** Answers a request or a renewal. */
  decide(ask: LeaseRequestDatagram): LeaseResponseDatagram {
    const {crashes, clock} = this.parts;
    const {content, number, isRenewal} = ask;
    const now = clock.getNow();
    const holder = formatRun(ask);
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

  /** Drops what has expired, and learns which hosts there are. */
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
    if (isRenewal || now - this.changedAt >= RUN_LEASE_MS) return true;
    return sortIssuers(content, this.earlierNames)[0] === ownName;
  }

  private updateHosts(): void {
    const {peers, ownName, clock} = this.parts;
    if (peers.recordsHash === this.recordsHash) return;
    this.recordsHash = peers.recordsHash;
    const names = peers.listReadyNames().sort();
    if (names.join() === this.names.join()) return;
    const now = clock.getNow();
    const before = this.names.length === 0 ? [ownName] : this.names;
    if (now - this.changedAt >= RUN_LEASE_MS) this.earlierNames = before;
    this.changedAt = now;
    this.names = names;
  }
}

function formatRun({name, incarnation, run}: LeasedRun): string {
  return `${name}/${incarnation}/${run}`;
}
