/**
 * What stands before every connection to an endpoint, and sees every answer. A
 * send needs a permit, which only the gate makes, so that no way leads past it.
 */
import type {
  AdvertisedLimit,
  PauseRequest,
  SendPriority,
} from '@irisdock/decisions';

/** The start of an endpoint that a send is meant for. */
export interface SendTarget {
  readonly instanceId: string;
  readonly endpointId: string;
  readonly address: string;
}

/** An answer as far as it tells of its endpoint's limit. */
export interface LimitAnswer {
  readonly target: SendTarget;
  /** The limit that it names; undefined when it names none. */
  readonly limit: AdvertisedLimit | undefined;
  /** Whether an endpoint that has a limit would have named it here. */
  readonly isTelling: boolean;
  /** When the request was sent, in ms by this host's clock. */
  readonly sentAt: number;
}

/** What an answer tells of its endpoint. */
export interface AnswerReport extends LimitAnswer {
  /** Whether the endpoint announces that it is leaving. */
  readonly isLeaving: boolean;
  /** The pause that it asks for; undefined when it asks for none. */
  readonly pause: PauseRequest | undefined;
}

/** Lets one request through to an endpoint. */
export class SendPermit {
  readonly kind = 'permit';

  constructor(readonly target: SendTarget) {}
}

/** Why the limit of an endpoint held a send back. */
export type LimitHoldReason =
  /** What the endpoint takes is used up for the moment. */
  | 'used-up'
  /** Nobody hands out permits for it now, or whoever does is not heard. */
  | 'no-issuer';

interface AnyHold {
  readonly kind: 'held';
  readonly target: SendTarget;
  /** Until there may be a permit, in ms; infinite if there will be none. */
  readonly waitMs: number;
}

/** Says that an endpoint's limit lets no request through now. */
export interface LimitHold extends AnyHold {
  readonly reason: LimitHoldReason;
  /** The limit, in requests a second from all hosts together. */
  readonly perSecond: number;
  /** The host that hands out the permits; undefined when none is known. */
  readonly issuer: string | undefined;
}

/** Says that an endpoint is leaving and gets no more requests of callers. */
export interface LeavingHold extends AnyHold {
  readonly reason: 'leaving';
}

/** Says that an endpoint asked this host for a pause. */
export interface PauseHold extends AnyHold {
  readonly reason: 'paused';
}

/** Says that a send is held back. */
export type SendHold = LeavingHold | LimitHold | PauseHold;

/** Whether a limit is the reason of a hold. */
export function isLimitHold(hold: SendHold): hold is LimitHold {
  return hold.reason === 'used-up' || hold.reason === 'no-issuer';
}

/** What the gate says. */
export type SendAdmission = SendHold | SendPermit;

/** The gate. */
export interface SendGate {
  /** Asks for a permit; waits only where the endpoint named a limit. */
  admit(
    target: SendTarget,
    use: SendPriority,
  ): Promise<SendAdmission> | SendAdmission;

  /**
   * Takes one of these whose limit no answer has confirmed for a while, to be
   * tried before others; undefined when there is none.
   */
  takeUnconfirmed<T extends SendTarget>(targets: Iterable<T>): T | undefined;

  /** Takes what an answer tells, whatever else becomes of it. */
  recordAnswer(report: AnswerReport): void;

  /**
   * Decides when a caller may come back whose request was held back, in ms; it
   * counts as one that was told.
   */
  decideReturnMs(holds: readonly LimitHold[]): number;
}
