/** How large a play is, and what it showed. */
import type {EndCounts, KindCounts} from './end_witness.js';
import type {PlannedFault} from './fault_plan.js';
import type {HandoverEvent} from './handover_plan.js';
import type {HarmlessEvent} from './harmless_plan.js';
import {DEPLOYED_PROGRAM} from './host_process.js';
import type {LossReport} from './loss_witness.js';
import type {ApiFaultEvent} from './platform_api_player.js';
import type {ReclaimEvent} from './scaling_player.js';

/** How large a play is. */
export interface PlayOptions {
  /** The program that the hosts run. */
  readonly program: string;
  readonly hosts: number;
  readonly callers: number;
  readonly lengthMs: number;
  /** The most faults that are drawn; two at least. */
  readonly faults: number;
}

/** What a play showed. */
export interface PlayReport {
  readonly seed: number;
  /** How requests ended; cuts also by their reasons. */
  readonly counts: EndCounts;
  readonly cuts: Readonly<Record<string, number>>;
  /** Ends and runs by the kind of request. */
  readonly kinds: Readonly<Record<string, KindCounts>>;
  readonly versions: number;
  /** The latest that a change was seen on a host that was left alone, in ms. */
  readonly mostDelayMs: number;
  /** The longest that the soak itself stood still, in ms. */
  readonly longestStallMs: number;
  /** Arrivals that were held against a limit. */
  readonly limited: number;
  /** Calls that arrived at the platform's API. */
  readonly apiCalls: number;
  /** Windows of usage whose counts were checked. */
  readonly checkedWindows: number;
  /** Streams after a loss of all hosts; absent in a play without one. */
  readonly loss?: LossReport | undefined;
  /** Whether the failure domains are in two regions. */
  readonly hasRegions: boolean;
  /** Whether the service of streams is scaled, and the orders accepted. */
  readonly isScaled: boolean;
  readonly orders: number;
  /** The faults and the harmless events. */
  readonly faults: readonly (
    ApiFaultEvent | HandoverEvent | HarmlessEvent | PlannedFault | ReclaimEvent
  )[];
  /** Promises that were broken. */
  readonly broken: readonly string[];
  /** Where the logs of the hosts are; removed when nothing was broken. */
  readonly directory: string;
}

/** The size of a usual play. */
export const USUAL_PLAY: PlayOptions = {
  program: DEPLOYED_PROGRAM,
  hosts: 4,
  callers: 48,
  lengthMs: 9000,
  faults: 12,
};
