/**
 * Acquires leases on runs of suspected contents from their issuers, and renews
 * them while the runs last. docs/design/crashing_requests.md.
 */
import type {Clock} from '@irisdock/kernel';
import type {
  LeaseResponseDatagram,
  LeaseRequestDatagram,
  LeasedRun,
  LeaseReleaseDatagram,
} from '../model/run_lease_datagram.js';
import type {
  LeaseOutcome,
  LeaseRequest,
  RunLeases,
} from '../serving/suspect_run.js';
import type {HostIdentity} from './identity.js';
import type {LeaseDatagramHandler} from './datagram_handlers.js';
import type {Peers} from './peer_hosts.js';
import {PeerRequests} from './peer_requests.js';
import type {RunLeaseIssuer} from './run_lease_issuer.js';

/** The time between two renewals, in ms; two may be lost. */
const RENEW_MS = 450;
/** The time to the next request when the issuer did not answer, in ms. */
const SILENT_WAIT_MS = 50;
/**
 * A run whose issuer did not answer for so long starts without a lease, in ms: the
 * issuer may be lost, and most contents that wait here ended nothing.
 */
const MAX_SILENCE_MS = 500;

/** Dependencies of the client. */
export interface RunLeaseClientParts {
  readonly identity: HostIdentity;
  readonly peers: Pick<Peers, 'sendToNames'>;
  readonly issuer: RunLeaseIssuer;
  readonly clock: Clock;
}

/** Acquires leases. */
export class RunLeaseClient implements RunLeases, LeaseDatagramHandler {
  private readonly questions: PeerRequests<
    LeaseRequestDatagram,
    LeaseResponseDatagram
  >;
  private lastRun = 0;

  constructor(private readonly parts: RunLeaseClientParts) {
    const {clock, peers} = parts;
    this.questions = new PeerRequests(clock, (to, ask) => {
      peers.sendToNames([to], ask);
    });
  }

  async acquire(request: LeaseRequest): Promise<LeaseOutcome> {
    const {clock} = this.parts;
    const {content, signal, maxWaitMs: mostMs, isNeeded} = request;
    const run = this.createRun(content);
    const startedAt = clock.getNow();
    let answeredAt = startedAt;
    while (isNeeded() && !signal.aborted) {
      const answer = await this.poll(run, false);
      const now = clock.getNow();
      if (answer?.isGranted === true) {
        return {
          kind: 'granted',
          lease: this.startRenewing(run),
          instanceIds: answer.instanceIds,
        };
      }
      if (answer !== undefined) answeredAt = now;
      if (now - answeredAt >= MAX_SILENCE_MS) break;
      const waitMs = answer?.waitMs ?? SILENT_WAIT_MS;
      if (now + waitMs - startedAt > mostMs) {
        this.release(run);
        return {kind: 'held'};
      }
      await clock.wait(waitMs, signal);
    }
    this.release(run);
    return {kind: 'not-needed'};
  }

  /** Drops what has expired of the leases that this host grants. */
  dropExpired(): void {
    this.parts.issuer.dropExpired();
  }

  acceptLeaseRequest(ask: LeaseRequestDatagram): void {
    const answer = this.parts.issuer.decide(ask);
    this.parts.peers.sendToNames([ask.name], answer);
  }

  acceptLeaseAnswer(answer: LeaseResponseDatagram): void {
    this.questions.accept(answer);
  }

  acceptLeaseRelease(end: LeaseReleaseDatagram): void {
    this.parts.issuer.release(end);
  }

  private createRun(content: string): LeasedRun {
    const {name, incarnation} = this.parts.identity;
    this.lastRun++;
    return {content, name, incarnation, run: this.lastRun};
  }

  private async poll(
    run: LeasedRun,
    isRenewal: boolean,
  ): Promise<LeaseResponseDatagram | undefined> {
    const {issuer, identity} = this.parts;
    const name = issuer.findIssuer(run.content);
    if (name === undefined) return undefined;
    const createAsk = (number: number): LeaseRequestDatagram => {
      return {kind: 'lease-ask', ...run, number, isRenewal};
    };
    if (name === identity.name) return issuer.decide(createAsk(0));
    return this.questions.poll(name, createAsk);
  }

  private startRenewing(run: LeasedRun): {release: () => void} {
    const ended = new AbortController();
    void this.renew(run, ended.signal);
    return {
      release: () => {
        if (ended.signal.aborted) return;
        this.release(run);
        ended.abort();
      },
    };
  }

  private async renew(run: LeasedRun, signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    await clock.wait(RENEW_MS, signal);
    while (!signal.aborted) {
      await this.poll(run, true);
      await clock.wait(RENEW_MS, signal);
    }
    // The last renewal may have arrived after the end of the lease.
    this.release(run);
  }

  private release(run: LeasedRun): void {
    const {issuer, identity, peers} = this.parts;
    const name = issuer.findIssuer(run.content);
    if (name === identity.name) issuer.release(run);
    else if (name !== undefined) {
      peers.sendToNames([name], {kind: 'lease-end', ...run});
    }
  }
}
