/**
 * Whether a stream may be sent to another engine, by what became of its legs so
 * far: as often as its route allows, within the service's budget of repeats, and
 * never once its content is known to end the engines that run it.
 */
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest} from './caller_exchange.js';
import {computeRemainingMs, FAILED_STATUS} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import {hasPerhapsRun, type LegResult} from './stream_leg.js';

/** Sends that certainly did not run may be repeated this often. */
const MAX_NOT_RUN = 6;
/** A leg with less time than this would bring nothing, in ms. */
const MIN_LEG_MS = 200;

/** Counts the legs of one stream. */
export class StreamRepeats {
  /** Legs that ran or may have run. */
  runs = 0;
  /** Legs that certainly did not run. */
  notRun = 0;

  constructor(
    private readonly parts: ServingParts,
    private readonly request: AdmittedRequest,
    private readonly route: ServingRoute,
    private readonly service: string,
  ) {}

  /** Whether any leg may have run. */
  get mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /** Whether the content ended too many engines, here or elsewhere. */
  get isRefused(): boolean {
    return this.parts.crashes.isRefused(this.request.content);
  }

  /** Takes a leg that ended early. */
  record(result: LegResult): void {
    if (hasPerhapsRun(result)) this.runs++;
    else this.notRun++;
  }

  /** Whether there may be another leg after one that ended like this. */
  isAllowed(result: LegResult): boolean {
    const {route, request, parts} = this;
    if (!route.isResumable && this.mayHaveRun) return false;
    if (this.isRefused) return false;
    if (result.kind === 'failed' && result.answer.status < FAILED_STATUS) {
      return false;
    }
    if (this.runs >= route.maxAttempts) return false;
    if (this.notRun > MAX_NOT_RUN) return false;
    if (request.exchange.signal.aborted) return false;
    const now = parts.clock.getNow();
    if (computeRemainingMs(request, route, now) < MIN_LEG_MS) return false;
    return parts.budgets.takeRepeat(this.service);
  }
}
