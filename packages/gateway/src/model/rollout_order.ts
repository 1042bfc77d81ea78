/**
 * Rollouts: the operators' orders, the status that operators read, and the
 * reports that hosts send each other.
 */
import type {RolloutPhase} from '@irisdock/decisions';
import type {Result} from 'neverthrow';

/** An operator's order to move a service to endpoints of another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly version: string;
  /** The time from the order to its completion, in ms. */
  readonly durationMs: number;
}

/** The outcome of a rollout, or `running`. */
export type RolloutOutcome = 'completed' | 'rolled-back' | 'running';

/** The status of a rollout that operators read. */
export interface RolloutStatus {
  readonly outcome: RolloutOutcome;
  readonly version: string;
}

/** Translates the rows of orders and of rollout statuses. */
export interface RolloutCodec {
  /** Gives the service of an order's key; undefined for other keys. */
  findService(key: string): string | undefined;
  /** @returns The order, or why it is invalid. */
  decodeOrder(value: string): Result<RolloutOrder, string>;
  /** Formats the key of the row with a service's rollout status. */
  formatStatusKey(service: string): string;
  encodeStatus(service: string, status: RolloutStatus): string;
  /** @returns The status; undefined when the row is malformed. */
  decodeStatus(value: string): RolloutStatus | undefined;
}

/** The responses of one endpoint of the new version on a route. */
export interface EndpointCount {
  readonly instanceId: string;
  readonly answers: number;
  readonly bad: number;
}

/** The responses that one host received on one route. */
export interface RouteCount {
  readonly route: string;
  /** Responses of endpoints of the old version. */
  readonly answers: number;
  readonly bad: number;
  readonly byEndpoint: readonly EndpointCount[];
}

/** What one host observed of a rollout. */
export interface RolloutReport {
  readonly service: string;
  /** The revision of the order. */
  readonly revision: number;
  readonly phase: RolloutPhase;
  readonly requests: number;
  readonly trialSends: number;
  /** The requests that it has running on endpoints of the old version. */
  readonly oldRunning: number;
  readonly routes: readonly RouteCount[];
}
