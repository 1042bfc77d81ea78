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
export interface RolloutBoard {
  acceptReport(datagram: RolloutReportDatagram): void;
  acceptPhase(datagram: RolloutPhaseDatagram): void;
}

/** Takes what other hosts tell of contents that end endpoints. */
export interface CrashBoard {
  acceptCrashes(crashes: readonly Crash[]): void;
  acceptCleared(content: string): void;
}

/** Takes what other hosts tell and ask of limits that endpoints name. */
export interface LimitBoard {
  /** Takes it that a beat has begun. */
  startBeat(): void;
  acceptLimits(datagram: LimitsDatagram): void;
  acceptAsk(datagram: PermitRequestDatagram): void;
  acceptAnswer(datagram: PermitResponseDatagram): void;
}

/** Takes what other hosts request and grant of leases on runs. */
export interface LeaseBoard {
  acceptLeaseAsk(datagram: LeaseRequestDatagram): void;
  acceptLeaseAnswer(datagram: LeaseResponseDatagram): void;
  acceptLeaseEnd(datagram: LeaseReleaseDatagram): void;
}

/** A datagram that goes to a board. */
export type BoardDatagram =
  | ContentClearedDatagram
  | CrashesDatagram
  | GrantDatagram
  | RolloutPhaseDatagram
  | RolloutReportDatagram;

/** The boards; a datagram without one is dropped. */
export class PeerBoards {
  rollouts: RolloutBoard | undefined;
  crashes: CrashBoard | undefined;
  limits: LimitBoard | undefined;
  leases: LeaseBoard | undefined;

  /** Passes a datagram to its board. */
  accept(datagram: BoardDatagram): void {
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
        this.limits?.acceptAsk(datagram);
        return;
      case 'permit-answer':
        this.limits?.acceptAnswer(datagram);
        return;
      case 'lease-ask':
        this.leases?.acceptLeaseAsk(datagram);
        return;
      case 'lease-answer':
        this.leases?.acceptLeaseAnswer(datagram);
        return;
      case 'lease-end':
        this.leases?.acceptLeaseEnd(datagram);
    }
  }
}
