/**
 * Takes in the limits that other hosts report. Reports that may have outlived
 * the limit or its endpoint are told from others by their age.
 */
import {computeEnforcedRate} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {ReportedLimit} from '../model/limit_datagram.js';
import type {KnownLimits, ReportOutcome} from './known_limits.js';

/**
 * How long an ended limit is kept so that no older report revives it, in ms.
 * Older reports are ignored where nothing is known of the endpoint: the limit
 * may have ended before.
 */
export const ENDED_LIMIT_KEEP_MS = 60_000;
/**
 * The age up to which a report counts although its endpoint is not known here,
 * in ms: an endpoint that has just responded may be new, and its entry may
 * arrive after the report.
 */
const NEW_ENDPOINT_MS = 5000;

/** Dependencies of the reports. */
export interface RemoteLimitsParts {
  readonly isEndpointKnown: (instanceId: string) => boolean;
  /** Whether this host has loaded the endpoints since its start. */
  readonly hasLoadedEndpoints: () => boolean;
  readonly clock: Pick<Clock, 'getNow'>;
}

/** Applies the reports of other hosts to the known limits. */
export class RemoteLimits {
  constructor(
    private readonly known: KnownLimits,
    private readonly parts: RemoteLimitsParts,
  ) {}

  /**
   * Whether another host's report counts: not if it may have outlived the limit
   * or the endpoint and nothing is known here that it can be compared with.
   */
  isUsable({instanceId, ageMs}: ReportedLimit): boolean {
    if (this.known.findReport(instanceId) !== undefined) return true;
    if (ageMs > ENDED_LIMIT_KEEP_MS) return false;
    const {isEndpointKnown, hasLoadedEndpoints} = this.parts;
    if (ageMs <= NEW_ENDPOINT_MS || isEndpointKnown(instanceId)) return true;
    return !hasLoadedEndpoints();
  }

  /** Applies a report if it is newer than the last one. */
  accept(
    {instanceId, perSecond, ageMs}: ReportedLimit,
    source: string,
  ): ReportOutcome {
    const at = this.parts.clock.getNow() - ageMs;
    const isLimited = perSecond !== undefined;
    // Endpoints without a limit are not stored.
    if (!isLimited && this.known.findRate(instanceId) === undefined) {
      return 'known';
    }
    const rate = isLimited
      ? computeEnforcedRate({kind: 'rate', perSecond}, undefined)
      : undefined;
    return this.known.accept(instanceId, {perSecond: rate, at}, source);
  }
}
