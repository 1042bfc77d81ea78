/**
 * The service `calls`: passes calls on to plain services. A call that may
 * have run is sent again only when it is repeatable.
 */
import {
  createService,
  createServiceKey,
  type Clock,
  type KnownError,
  type Random,
} from '@irisdock/kernel';
import {
  chooseEndpoint,
  computePlacementConstraints,
  isDomainAllowed,
  DEFAULT_RETRY_BUDGET,
  RetryBudget,
  type ParsedRequestId,
} from '@irisdock/decisions';
import type {PlainAnswer, PlainCall} from '@irisdock/endpoints';
import type {PlainSpec} from '@irisdock/resources';
import {err, ok, type Result} from 'neverthrow';
import {Counter} from 'prom-client';
import * as z from 'zod';
import {RequestLedger} from '../answer/request_ledger.js';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import {DAEMON_ERRORS} from '../errors.js';
import {ADMISSION, type Admission} from './admission.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {ENDPOINTS, type EndpointDirectory} from './endpoint_directory.js';
import {OWNERSHIP, type OwnerRefusal, type Ownership} from './ownership.js';

/** A checked call. */
export interface PlainRequest {
  readonly id: ParsedRequestId;
  readonly service: string;
  readonly spec: PlainSpec;
  readonly team: string;
  readonly weight: number;
  readonly maxInFlight: number;
  readonly maxQueueMs: number;
  readonly repeatable: boolean;
  readonly call: Omit<PlainCall, 'timeoutMs'>;
  /** Aborted when the caller is gone. */
  readonly signal: AbortSignal;
}

interface CallsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly admission: Admission;
  readonly configuration: Configuration;
  readonly directory: EndpointDirectory;
  readonly ownership: Ownership;
  readonly calls: Counter;
}

const MAX_TRIES = 3;
const FULL_AT = 1;
const NO_PREFIX = (): number => 0;

/** Passes calls on. */
export class PlainCalls {
  private readonly ledger: RequestLedger<'sent'>;
  private readonly budget = new RetryBudget(DEFAULT_RETRY_BUDGET);
  private running = 0;

  constructor(private readonly parts: CallsParts) {
    this.ledger = new RequestLedger(parts.ownership.retentionMs, () => true);
  }

  /** Calls that are under way. */
  get inFlight(): number {
    return this.running;
  }

  /** Passes a call on and gives its answer, or the reason why not. */
  async serve(ask: PlainRequest): Promise<Result<PlainAnswer, OwnerRefusal>> {
    const now = this.parts.clock.getNow();
    this.ledger.dropOld(now);
    const refusal = this.findRefusal(ask);
    if (refusal !== undefined) return err(refusal);
    if (!ask.repeatable) this.ledger.add(ask.id.id, 'sent', now);
    this.running++;
    try {
      const answer = await this.run(ask);
      if (answer.isOk()) return ok(answer.value);
      if (answer.error.outcome === 'not-run') {
        this.ledger.remove(ask.id.id, 'sent');
      }
      return err({error: answer.error});
    } finally {
      this.running--;
    }
  }

  private findRefusal(ask: PlainRequest): OwnerRefusal | undefined {
    const {id, repeatable} = ask;
    const ledger = this.ledger.find(id.id) === undefined ? undefined : 'ended';
    const permission = this.parts.ownership.check({
      id,
      repeatable,
      resuming: false,
      hasResumeData: false,
      ledger,
    });
    if (permission.isErr()) return permission.error;
    if (permission.value === 'start') return undefined;
    return {error: DAEMON_ERRORS.create('already_sent')};
  }

  private async run(
    ask: PlainRequest,
  ): Promise<Result<PlainAnswer, KnownError>> {
    const avoid = new Set<string>();
    const admitted = await this.parts.admission.submit({
      id: ask.id.id,
      service: ask.service,
      team: ask.team,
      weight: ask.weight,
      cost: 1,
      maxQueue: ask.spec.maxQueue,
      maxQueueMs: ask.maxQueueMs,
      maxInFlight: ask.maxInFlight,
      signal: ask.signal,
      chooseEndpoint: () => this.choose(ask, avoid),
    });
    if (admitted.isErr()) return err(admitted.error);
    this.budget.addFirstAttempt();
    try {
      return await this.tryEndpoints(ask, admitted.value.endpoint, avoid);
    } finally {
      admitted.value.release();
    }
  }

  private async tryEndpoints(
    ask: PlainRequest,
    first: EndpointRecord,
    avoid: Set<string>,
  ): Promise<Result<PlainAnswer, KnownError>> {
    let endpoint: EndpointRecord | undefined = first;
    let detail = 'no endpoint has room';
    let mayHaveRun = false;
    for (let tries = 1; endpoint !== undefined; tries++) {
      const answer = await this.send(ask, endpoint);
      if (answer.isOk()) return ok(answer.value);
      detail = answer.error.message;
      const unsent = answer.error.outcome === 'not-run';
      mayHaveRun ||= !unsent;
      avoid.add(endpoint.address);
      if (!unsent && !ask.repeatable) break;
      const now = this.parts.clock.getNow();
      if (tries >= MAX_TRIES || !this.budget.takeRetry(now)) break;
      endpoint = this.choose(ask, avoid);
      endpoint?.startRequest();
    }
    const {service} = ask;
    return err(
      mayHaveRun
        ? DAEMON_ERRORS.create('call_lost', {service, detail}, 1)
        : DAEMON_ERRORS.create('no_endpoint', {service}, 1),
    );
  }

  private async send(
    ask: PlainRequest,
    endpoint: EndpointRecord,
  ): Promise<Result<PlainAnswer, KnownError>> {
    const {plain} = endpoint.clients;
    const {service} = ask;
    if (plain === undefined) {
      return err(DAEMON_ERRORS.create('no_endpoint', {service}, 1));
    }
    const timeoutMs = ask.spec.callMs;
    const answer = await plain.send({...ask.call, timeoutMs});
    const outcome = answer.isOk() ? 'answered' : answer.error.kind;
    this.parts.calls.inc({service, outcome});
    if (answer.isOk()) {
      const {body} = answer.value;
      body.once('close', () => {
        endpoint.endRequest(body.readableEnded ? 'done' : 'lost');
      });
      return ok(answer.value);
    }
    endpoint.endRequest('lost');
    if (answer.error.kind === 'endpoint_unreachable') {
      this.parts.directory.reportLost(endpoint, 'unreachable');
    }
    return err(answer.error);
  }

  private choose(
    ask: PlainRequest,
    avoid: ReadonlySet<string>,
  ): EndpointRecord | undefined {
    const {configuration, directory, random} = this.parts;
    const rules = configuration.listSpecs('placementRule');
    const placement = computePlacementConstraints(rules, ask.service, ask.team);
    const records = directory
      .listUsable(ask.service)
      .filter((record) => isDomainAllowed(placement, record.failureDomain));
    const view = chooseEndpoint(
      records.map((record) => record.getView()),
      {
        blockCount: 0,
        avoidAddresses: avoid,
        mayRetryLost: true,
        avoidDomains: new Set(),
        preferDomains: placement.preferred,
        maxLoad: FULL_AT,
      },
      NO_PREFIX,
      random,
    );
    return records.find((record) => record.address === view?.address);
  }
}

/** The key of the service. */
export const PLAIN_CALLS = createServiceKey<PlainCalls>('calls');

/** Declares the service. */
export const PLAIN_CALLS_SERVICE = createService({
  key: PLAIN_CALLS,
  settings: z.object({}),
  needs: [ADMISSION, CONFIGURATION, ENDPOINTS, OWNERSHIP],
  create(context) {
    const api = new PlainCalls({
      clock: context.clock,
      random: context.random,
      admission: context.find(ADMISSION),
      configuration: context.find(CONFIGURATION),
      directory: context.find(ENDPOINTS),
      ownership: context.find(OWNERSHIP),
      calls: new Counter({
        name: 'irisdock_calls_sent_total',
        help: 'Calls sent to plain endpoints, a count, by service and outcome.',
        labelNames: ['service', 'outcome'],
        registers: [context.metrics],
      }),
    });
    return {api};
  },
});
