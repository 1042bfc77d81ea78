/**
 * Who takes the datagrams of other hosts about roll-outs, crashes, limits and
 * leases; the services behind them set themselves once they are created.
 */
import type {Crash} from '@irisdock/decisions';
import type {
  LimitsDatagram,
  PermitResponseDatagram,
  PermitRequestDatagram,
} from '../model/limit_datagram.js';
import type {
  ContentClearedDatagram,
  CrashesDatagram,
  GrantDatagram,
  RolloutPhaseDatagram,
  RolloutReportDatagram,
} from '../model/peer_message.js';
import type {
  LeaseResponseDatagram,
  LeaseRequestDatagram,
  LeaseReleaseDatagram,
} from '../model/run_lease_datagram.js';

/** Takes what other hosts tell of roll-outs. */
export interface RolloutDatagramHandler {
  acceptReport(datagram: RolloutReportDatagram): void;
  acceptPhase(datagram: RolloutPhaseDatagram): void;
}

/** Takes what other hosts tell of contents that end endpoints. */
export interface CrashDatagramHandler {
  acceptCrashes(crashes: readonly Crash[]): void;
  acceptCleared(content: string): void;
}

/** Takes what other hosts tell and ask of limits that endpoints name. */
export interface LimitDatagramHandler {
  /** Takes it that a beat has begun. */
  startHeartbeat(): void;
  acceptLimits(datagram: LimitsDatagram): void;
  acceptPermitRequest(datagram: PermitRequestDatagram): void;
  acceptPermitAnswer(datagram: PermitResponseDatagram): void;
}

/** Takes what other hosts request and grant of leases on runs. */
export interface LeaseDatagramHandler {
  acceptLeaseRequest(datagram: LeaseRequestDatagram): void;
  acceptLeaseAnswer(datagram: LeaseResponseDatagram): void;
  acceptLeaseRelease(datagram: LeaseReleaseDatagram): void;
}

/** A datagram that goes to a board. */
export type HandledDatagram =
  | ContentClearedDatagram
  | CrashesDatagram
  | GrantDatagram
  | RolloutPhaseDatagram
  | RolloutReportDatagram;

/** The boards; a datagram without one is dropped. */
export class DatagramHandlers {
  rollouts: RolloutDatagramHandler | undefined;
  crashes: CrashDatagramHandler | undefined;
  limits: LimitDatagramHandler | undefined;
  leases: LeaseDatagramHandler | undefined;

  /** Passes a datagram to its board. */
  accept(datagram: HandledDatagram): void {
    switch (datagram.kind) {
      case 'rollout-report':
        this.rollouts?.acceptReport(datagram);
        return;
      case 'rollout-phase':
        this.rollouts?.acceptPhase(datagram);
        return;
      case 'crashes':
        this.crashes?.acceptCrashes(datagram.crashes);
        return;
      case 'cleared':
        this.crashes?.acceptCleared(datagram.content);
        return;
      case 'limits':
        this.limits?.acceptLimits(datagram);
        return;
      case 'permit-ask':
        this.limits?.acceptPermitRequest(datagram);
        return;
      case 'permit-answer':
        this.limits?.acceptPermitAnswer(datagram);
        return;
      case 'lease-ask':
        this.leases?.acceptLeaseRequest(datagram);
        return;
      case 'lease-answer':
        this.leases?.acceptLeaseAnswer(datagram);
        return;
      case 'lease-end':
        this.leases?.acceptLeaseRelease(datagram);
    }
  }
}
