/**
 * Refuses new streams whose first events would come clearly after their target,
 * by the load of engines that this host knows and the rate of prefill that it
 * observed. docs/design/domain_outages.md.
 */
import {
  computeReturnMs,
  findLateRefusal,
  PrefillRate,
} from '@irisdock/decisions';
import type {Clock, KnownError, Logger, Random} from '@irisdock/kernel';
import type {Counter} from 'prom-client';
import {GATEWAY_ERRORS} from '../errors.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest} from './caller_exchange.js';
import {formatRetryAfter} from './retry_after.js';
import {getRandomFraction} from './serving_parts.js';
import type {StreamPlanner} from './stream_planner.js';

/** Dependencies of the refusals. */
export interface LateRefusalsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Counts the refused streams, by service. */
  readonly refusals: Counter;
  /** How many times its target a first event may take; none refused if 0. */
  readonly maxTargets: number;
}

/** A new stream that may be refused. */
export interface NewStream {
  readonly request: AdmittedRequest;
  readonly route: ServingRoute;
  readonly service: string;
  readonly planner: Pick<
    StreamPlanner,
    'createEngineRequest' | 'listKnownEngines'
  >;
}

/** Observes first events and decides on new streams. */
export class LateRefusals {
  private readonly rates = new Map<string, PrefillRate>();

  constructor(private readonly parts: LateRefusalsParts) {}

  /**
   * Records the first event of an attempt that processed a prompt.
   *
   * @param tokens Unread tokens on its engine when it was sent, its own
   *     included.
   * @param ms The time from then to the first event.
   */
  recordFirstEvent(service: string, tokens: number, ms: number): void {
    if (this.parts.maxTargets === 0) return;
    const rate = this.rates.get(service) ?? new PrefillRate();
    rate.record(tokens, ms);
    this.rates.set(service, rate);
  }

  /** Returns the error for a stream to be refused; undefined if it is not. */
  findError(stream: NewStream): KnownError | undefined {
    const {clock, random, log, refusals, maxTargets} = this.parts;
    if (maxTargets === 0) return undefined;
    const {request, route, service, planner} = stream;
    const {targetLatencyMs: targetMs} = route;
    const expectedMs = findLateRefusal({
      engines: planner.listKnownEngines(),
      request: planner.createEngineRequest(),
      tokensPerMs: this.rates.get(service)?.getTokensPerMs(),
      elapsedMs: clock.getNow() - request.exchange.startedAt,
      targetMs,
      maxTargets,
    });
    if (expectedMs === undefined) return undefined;
    const fraction = getRandomFraction(random);
    const returnMs = computeReturnMs(expectedMs, targetMs, fraction);
    refusals.inc({service});
    log.writeInfo('Refused a stream, as its first event would be late.', {
      request: request.requestId,
      service,
      expectedMs: Math.round(expectedMs),
      targetMs,
      returnMs: Math.round(returnMs),
    });
    const seconds = formatRetryAfter(returnMs, random);
    return GATEWAY_ERRORS.create('first_event_late', {service}, seconds);
  }
}
