/**
 * What stands before every connection to an endpoint, and sees every answer.
 */
import type {NamedLimit} from '@irisdock/decisions';

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
  readonly limit: NamedLimit | undefined;
  /** Whether an endpoint that has a limit would have named it here. */
  readonly isTelling: boolean;
  /** When the request was sent, in ms by this host's clock. */
  readonly sentAt: number;
}

/** The gate. */
export interface SendGate {
  /** Takes what an answer tells, whatever else becomes of it. */
  recordAnswer(answer: LimitAnswer): void;
}
