/**
 * The gate that admits every send to an endpoint and sees every answer. A send
 * needs a permit, and only the gate creates permits, so none can bypass it.
 */
import type {
  AdvertisedLimit,
  PauseRequest,
  SendPriority,
} from '@irisdock/decisions';

/** The endpoint instance that a send is addressed to. */
export interface SendTarget {
  readonly instanceId: string;
  readonly endpointId: string;
  readonly address: string;
}

/** What an answer says about the limit of its endpoint. */
export interface LimitAnswer {
  readonly target: SendTarget;
  /** The limit that the answer names; undefined if it names none. */
  readonly limit: AdvertisedLimit | undefined;
  /** Whether an endpoint with a limit would have named it in this answer. */
  readonly isTelling: boolean;
  /** When the request was sent, in ms on this host's clock. */
  readonly sentAt: number;
}

/** What an answer says about its endpoint. */
export interface AnswerReport extends LimitAnswer {
  /** Whether the endpoint announces that it is leaving. */
  readonly isLeaving: boolean;
  /** The pause that the endpoint asks for; undefined if it asks for none. */
  readonly pause: PauseRequest | undefined;
}

/** Permits one send to an endpoint. */
export class SendPermit {
  readonly kind = 'permit';

  /** @param sendBy By when it is sent, in ms of the clock. */
  constructor(
    readonly target: SendTarget,
    readonly sendBy = Infinity,
  ) {}
}

/** Why the limit of an endpoint holds a send back. */
export type LimitHoldReason =
  /** The endpoint's rate is used up for now. */
  | 'used-up'
  /** No host issues permits for the endpoint now, or its issuer is silent. */
  | 'no-issuer';

interface BaseHold {
  readonly kind: 'held';
  readonly target: SendTarget;
  /** Time until a permit may be available, in ms; Infinity if never. */
  readonly waitMs: number;
}

/** A send held back by the rate limit of its endpoint. */
export interface LimitHold extends BaseHold {
  readonly reason: LimitHoldReason;
  /** The limit, in requests per second over all hosts. */
  readonly perSecond: number;
  /** The host that issues the permits; undefined if none is known. */
  readonly issuer: string | undefined;
}

/** A send held back because its endpoint is leaving. */
export interface LeavingHold extends BaseHold {
  readonly reason: 'leaving';
}

/** A send held back because its endpoint asked this host for a pause. */
export interface PauseHold extends BaseHold {
  readonly reason: 'paused';
}

/** A send that is held back, with the reason. */
export type SendHold = LeavingHold | LimitHold | PauseHold;

/** Whether a rate limit is the reason of a hold. */
export function isLimitHold(hold: SendHold): hold is LimitHold {
  return hold.reason === 'used-up' || hold.reason === 'no-issuer';
}

/** The gate's decision on a send. */
export type SendAdmission = SendHold | SendPermit;

/** Admits sends to endpoints. */
export interface SendGate {
  /** Requests a permit; asynchronous only if the endpoint has a limit. */
  admit(
    target: SendTarget,
    priority: SendPriority,
  ): Promise<SendAdmission> | SendAdmission;

  /**
   * Takes a target whose limit no answer has confirmed for a while, to be tried
   * before others; undefined if there is none.
   */
  takeUnconfirmed<T extends SendTarget>(targets: Iterable<T>): T | undefined;

  /** Records what an answer says, also if the answer is not used. */
  recordAnswer(report: AnswerReport): void;

  /**
   * Decides when the caller of a request that was held back should retry, in ms
   * from now, and counts the caller as one that will.
   */
  decideReturnMs(holds: readonly LimitHold[]): number;
}
