/**
 * Refuses new streams whose first events would come clearly after their target,
 * by the load of engines that this host knows and the rate of prefill that it
 * observed. An idle engine that failed lately is probed before that, as it may
 * serve again; once it answers, further streams may follow.
 * docs/design/domain_outages.md.
 */
import {
  AnsweringEngines,
  computeReturnMs,
  findLateRefusal,
  findReturningEngine,
  PrefillRate,
  type LateRefusalState,
} from '@irisdock/decisions';
import type {Clock, KnownError, Logger, Random} from '@irisdock/kernel';
import type {Counter} from 'prom-client';
import {GATEWAY_ERRORS} from '../errors.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';
import {formatRetryAfter} from './retry_after.js';
import {getRandomFraction} from './serving_parts.js';
import type {StreamPlanner} from './stream_planner.js';

/** How long a probe may take, in ms. */
const PROBE_TIMEOUT_MS = 150;
/**
 * How long a stream waits for the probe of an idle engine, in ms. A refusal is
 * to come within 125 ms, of which the load of other engines takes up to 30 ms;
 * an admitted stream waits up to 75 ms more for a permit.
 */
const MAX_PROBE_WAIT_MS = 20;

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
  readonly prober: Pick<EndpointProber, 'probe'>;
}

/** What becomes of a new stream whose first event is expected late. */
export type LateStream =
  | {readonly kind: 'refused'; readonly error: KnownError}
  /** An idle engine that failed lately has answered a probe. */
  | {readonly kind: 'served'; readonly engine: EndpointRecord};

/** Observes first events and decides on new streams. */
export class LateRefusals {
  private readonly rates = new Map<string, PrefillRate>();
  private readonly answering = new AnsweringEngines();

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

  /**
   * Decides on a new stream; undefined if its first event is not expected late.
   * Before it is refused, an idle engine that failed lately is probed.
   */
  async decide(stream: NewStream): Promise<LateStream | undefined> {
    const {maxTargets} = this.parts;
    if (maxTargets === 0) return undefined;
    const state = this.createState(stream);
    const expectedMs = findLateRefusal(state);
    if (expectedMs === undefined) return undefined;
    const engine =
      this.takeAnswering(state) ?? (await this.probeReturning(stream, state));
    if (engine === undefined) {
      return {kind: 'refused', error: this.refuse(stream, expectedMs)};
    }
    return {kind: 'served', engine};
  }

  private takeAnswering(
    state: LateRefusalState<EndpointRecord>,
  ): EndpointRecord | undefined {
    return this.answering.takePlace(state, this.parts.clock.getNow());
  }

  private createState(stream: NewStream): LateRefusalState<EndpointRecord> {
    const {clock, maxTargets} = this.parts;
    const {request, route, service, planner} = stream;
    return {
      engines: planner.listKnownEngines(),
      request: planner.createEngineRequest(),
      tokensPerMs: this.rates.get(service)?.getTokensPerMs(),
      elapsedMs: clock.getNow() - request.exchange.startedAt,
      targetMs: route.targetLatencyMs,
      maxTargets,
    };
  }

  /**
   * Probes an idle engine that failed lately; returns it if it answers and has
   * room. Streams that arrive together share the probe, which therefore runs on
   * after the wait.
   */
  private async probeReturning(
    stream: NewStream,
    state: LateRefusalState<EndpointRecord>,
  ): Promise<EndpointRecord | undefined> {
    const engine = findReturningEngine(state);
    if (engine === undefined) return undefined;
    const wait = this.parts.clock.wait(MAX_PROBE_WAIT_MS);
    await Promise.race([this.probe(stream, engine), wait]);
    return this.takeAnswering(this.createState(stream));
  }

  /** Records the answer of an engine that is still idle when it comes. */
  private async probe(
    {prober}: NewStream,
    engine: EndpointRecord,
  ): Promise<void> {
    const answer = await prober.probe(engine, PROBE_TIMEOUT_MS);
    if (answer !== 'answers' || engine.streams > 0) return;
    this.answering.record(engine, this.parts.clock.getNow());
  }

  private refuse(stream: NewStream, expectedMs: number): KnownError {
    const {random, log, refusals} = this.parts;
    const {request, route, service} = stream;
    const {targetLatencyMs: targetMs} = route;
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
