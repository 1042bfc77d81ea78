/**
 * Passes datagrams of other hosts about rollouts, crashes, limits, leases,
 * loans, origins, begun requests and demand to the services that handle them.
 * These services register themselves on creation.
 */
import type {Crash} from '@irisdock/decisions';
import type {DemandDatagram} from '../model/demand_datagram.js';
import type {
  BegunDatagram,
  BegunReportDatagram,
  BegunRequestDatagram,
} from '../model/begun_datagram.js';
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
import type {
  LoanDatagram,
  LoanRequestDatagram,
  LoanResponseDatagram,
} from '../model/loan_datagram.js';
import type {
  OriginDatagram,
  OriginRequestDatagram,
  OriginResponseDatagram,
  OriginsDatagram,
} from '../model/origin_datagram.js';

/** Handles datagrams about rollouts. */
export interface RolloutDatagramHandler {
  acceptReport(datagram: RolloutReportDatagram): void;
  acceptPhase(datagram: RolloutPhaseDatagram): void;
}

/** Handles datagrams about request contents that crash endpoints. */
export interface CrashDatagramHandler {
  acceptCrashes(crashes: readonly Crash[]): void;
  acceptCleared(content: string): void;
}

/** Handles datagrams about the rate limits that endpoints advertise. */
export interface LimitDatagramHandler {
  /** Does the work of one heartbeat. */
  startHeartbeat(): void;
  acceptLimits(datagram: LimitsDatagram): void;
  acceptPermitRequest(datagram: PermitRequestDatagram): void;
  acceptPermitAnswer(datagram: PermitResponseDatagram): void;
}

/** Handles requests and grants of run leases. */
export interface LeaseDatagramHandler {
  acceptLeaseRequest(datagram: LeaseRequestDatagram): void;
  acceptLeaseAnswer(datagram: LeaseResponseDatagram): void;
  acceptLeaseRelease(datagram: LeaseReleaseDatagram): void;
}

/** Handles requests and answers by which hosts lend retries. */
export interface LoanDatagramHandler {
  acceptLoanRequest(datagram: LoanRequestDatagram): void;
  acceptLoanAnswer(datagram: LoanResponseDatagram): void;
}

/** Handles reports and lookups of the origins of streams. */
export interface OriginDatagramHandler {
  /** Does the work of one heartbeat. */
  startHeartbeat(): void;
  acceptOrigins(datagram: OriginsDatagram): void;
  acceptOriginRequest(datagram: OriginRequestDatagram): void;
  acceptOriginAnswer(datagram: OriginResponseDatagram): void;
}

/** Handles reports of begun requests, and requests for them. */
export interface BegunDatagramHandler {
  acceptBegunReport(datagram: BegunReportDatagram): void;
  acceptBegunRequest(datagram: BegunRequestDatagram): void;
}

/** Handles reports of the load of scaled services. */
export interface DemandDatagramHandler {
  accept(datagram: DemandDatagram): void;
}

/** A datagram that goes to one of the handlers. */
export type HandledDatagram =
  | BegunDatagram
  | OriginDatagram
  | ContentClearedDatagram
  | CrashesDatagram
  | DemandDatagram
  | GrantDatagram
  | LoanDatagram
  | RolloutPhaseDatagram
  | RolloutReportDatagram;

/** Holds the registered handlers; a datagram without a handler is dropped. */
export class DatagramHandlers {
  rollouts: RolloutDatagramHandler | undefined;
  crashes: CrashDatagramHandler | undefined;
  limits: LimitDatagramHandler | undefined;
  leases: LeaseDatagramHandler | undefined;
  origins: OriginDatagramHandler | undefined;
  begun: BegunDatagramHandler | undefined;
  demand: DemandDatagramHandler | undefined;
  loans: LoanDatagramHandler | undefined;

  /** Passes a datagram to its handler. */
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
        return;
      case 'origins':
        this.origins?.acceptOrigins(datagram);
        return;
      case 'origin-ask':
        this.origins?.acceptOriginRequest(datagram);
        return;
      case 'origin-answer':
        this.origins?.acceptOriginAnswer(datagram);
        return;
      case 'begun-report':
        this.begun?.acceptBegunReport(datagram);
        return;
      case 'begun-ask':
        this.begun?.acceptBegunRequest(datagram);
        return;
      case 'demand':
        this.demand?.accept(datagram);
        return;
      case 'loan-ask':
        this.loans?.acceptLoanRequest(datagram);
        return;
      case 'loan-answer':
        this.loans?.acceptLoanAnswer(datagram);
    }
  }
}
