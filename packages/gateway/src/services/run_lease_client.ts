/**
 * Acquires leases on runs of suspected contents from their issuers and renews
 * them during the runs. docs/design/crashing_requests.md.
 */
import type {Clock} from '@irisdock/kernel';
import type {
  LeaseResponseDatagram,
  LeaseRequestDatagram,
  LeasedRun,
  LeaseReleaseDatagram,
} from '../model/run_lease_datagram.js';
import {
  MAX_SILENCE_MS,
  type LeaseOutcome,
  type LeaseRequest,
  type RunLeases,
} from '../serving/suspect_run.js';
import type {HostIdentity} from './identity.js';
import type {LeaseDatagramHandler} from './datagram_handlers.js';
import type {Peers} from './peer_hosts.js';
import {PeerRequests} from './peer_requests.js';
import type {RunLeaseIssuer} from './run_lease_issuer.js';

/**
 * The time between two renewals, in ms; two may be lost before a lease expires.
 */
const RENEW_INTERVAL_MS = 450;
/** The retry delay when the issuer did not answer, in ms. */
const RETRY_DELAY_MS = 50;

/** Dependencies of the client. */
export interface RunLeaseClientParts {
  readonly identity: Pick<HostIdentity, 'incarnation' | 'name'>;
  readonly peers: Pick<Peers, 'sendToNames'>;
  readonly issuer: RunLeaseIssuer;
  readonly clock: Clock;
}

/** Acquires, renews and releases the leases of this host's runs. */
export class RunLeaseClient implements RunLeases, LeaseDatagramHandler {
  private readonly requests: PeerRequests<
    LeaseRequestDatagram,
    LeaseResponseDatagram
  >;
  private lastRunNumber = 0;

  constructor(private readonly parts: RunLeaseClientParts) {
    const {clock, peers} = parts;
    this.requests = new PeerRequests(clock, (to, request) => {
      peers.sendToNames([to], request);
    });
  }

  async acquire(request: LeaseRequest): Promise<LeaseOutcome> {
    const {clock, issuer} = this.parts;
    const {content, signal, maxWaitMs, maxSilenceMs, isNeeded} = request;
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
      const hasIssuer = issuer.findIssuer(content) !== undefined;
      const limitMs = hasIssuer ? maxSilenceMs : MAX_SILENCE_MS;
      if (now - answeredAt >= limitMs) break;
      const waitMs = answer?.waitMs ?? RETRY_DELAY_MS;
      if (now + waitMs - startedAt > maxWaitMs) {
        this.release(run);
        return {kind: 'held'};
      }
      await clock.wait(waitMs, signal);
    }
    this.release(run);
    return {kind: 'not-needed'};
  }

  /** Removes expired leases among those that this host grants. */
  dropExpired(): void {
    this.parts.issuer.dropExpired();
  }

  acceptLeaseRequest(request: LeaseRequestDatagram): void {
    const answer = this.parts.issuer.decide(request);
    this.parts.peers.sendToNames([request.name], answer);
  }

  acceptLeaseAnswer(answer: LeaseResponseDatagram): void {
    this.requests.accept(answer);
  }

  acceptLeaseRelease(end: LeaseReleaseDatagram): void {
    this.parts.issuer.release(end);
  }

  private createRun(content: string): LeasedRun {
    const {name, incarnation} = this.parts.identity;
    this.lastRunNumber++;
    return {content, name, incarnation, run: this.lastRunNumber};
  }

  private async poll(
    run: LeasedRun,
    isRenewal: boolean,
  ): Promise<LeaseResponseDatagram | undefined> {
    const {issuer, identity} = this.parts;
    const name = issuer.findIssuer(run.content);
    if (name === undefined) return undefined;
    const createRequest = (number: number): LeaseRequestDatagram => {
      return {kind: 'lease-ask', ...run, number, isRenewal};
    };
    if (name === identity.name) return issuer.decide(createRequest(0));
    return this.requests.poll(name, createRequest);
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
    await clock.wait(RENEW_INTERVAL_MS, signal);
    while (!signal.aborted) {
      await this.poll(run, true);
      await clock.wait(RENEW_INTERVAL_MS, signal);
    }
    // A last renewal may have reached the issuer after the first release.
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
