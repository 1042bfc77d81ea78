/**
 * The interface of the platform's API for calls that only the holder of a
 * singleton task may make. Each call carries the holder and its fencing token.
 * Nothing can be read back from the API. docs/design/new_deployments.md.
 */
import {createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import type {TaskName} from './singleton_task.js';

/** The right to make one call. */
export interface CallAuthority {
  /** The name of the host that holds the task. */
  readonly host: string;
  /** The fencing token. */
  readonly fence: number;
  /**
   * Whether the call may still be sent. It is checked in the turn of the event
   * loop in which the first byte is written, after the connection is open.
   */
  readonly isValid: () => boolean;
  /** How long the call may take from the first byte, in ms. */
  readonly timeoutMs: number;
}

/** The requests that endpoints began in one window, by team. */
export const USAGE_REPORT_SCHEMA = z.object({
  /** The number of the window since the start of 1970. */
  window: z.number().int(),
  counts: z.record(z.string(), z.number().int().min(0)),
});
/** The requests that endpoints began in one window, by team. */
export type UsageReport = z.infer<typeof USAGE_REPORT_SCHEMA>;

/** How many endpoints of one kind a failure domain shall hold. */
export const ENDPOINT_ORDER_SCHEMA = z.object({
  service: z.string(),
  failureDomain: z.string(),
  count: z.number().int().min(0),
  isSpot: z.boolean(),
});
/** How many endpoints of one kind a failure domain shall hold. */
export type EndpointOrder = z.infer<typeof ENDPOINT_ORDER_SCHEMA>;

/** What became of a call. */
export type CallOutcome =
  | {readonly kind: 'accepted'}
  /** The platform has no endpoints of that kind there now. */
  | {readonly kind: 'none-available'}
  /**
   * The platform rejected the call. It did nothing, unless the status is one of
   * its own faults (500 or more).
   */
  | {readonly kind: 'rejected'; readonly status: number}
  /** Nothing was sent: no connection, or the authority had ended. */
  | {readonly kind: 'not-sent'; readonly detail: string}
  /** The call was sent and may have been accepted, or may be accepted later. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Calls the platform's API. */
export interface PlatformApi {
  /** Whether the deployment's settings name the address of an API. */
  readonly isConfigured: boolean;
  /** The tasks that the platform asks this deployment for. */
  readonly requestedTasks: readonly TaskName[];
  reportUsage(
    authority: CallAuthority,
    report: UsageReport,
  ): Promise<CallOutcome>;
  sendOrder(
    authority: CallAuthority,
    order: EndpointOrder,
  ): Promise<CallOutcome>;
  close(): void;
}

/** The key of the service, which the adapter provides. */
export const PLATFORM_API = createServiceKey<PlatformApi>('platformApi');
