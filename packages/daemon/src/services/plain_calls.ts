/**
 * The service `calls`: forwards calls to the endpoints of plain services. A
 * call that may have run is retried only if it is repeatable.
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

/** A validated call to a plain service. */
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
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

interface CallsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly admission: Admission;
  readonly configuration: Configuration;
  readonly directory: EndpointDirectory;
  readonly ownership: Ownership;
  readonly sentCalls: Counter;
}

const MAX_ATTEMPTS = 3;
/** Requests per slot at which an endpoint has no free slot. */
const FULL_LOAD = 1;
/** Plain endpoints cache no prompts, so no prefix ever matches. */
const matchNoPrefix = (): number => 0;

/** Forwards calls to plain endpoints. */
export class PlainCalls {
  private readonly ledger: RequestLedger<'sent'>;
  private readonly retryBudget = new RetryBudget(DEFAULT_RETRY_BUDGET);
  private running = 0;

  constructor(private readonly parts: CallsParts) {
    this.ledger = new RequestLedger(parts.ownership.retentionMs, () => true);
  }

  /** The number of calls in flight. */
  get inFlight(): number {
    return this.running;
  }

  /** Forwards a call; resolves to its response or to the refusal. */
  async serve(
    request: PlainRequest,
  ): Promise<Result<PlainAnswer, OwnerRefusal>> {
    const now = this.parts.clock.getNow();
    this.ledger.dropExpired(now);
    const refusal = this.findRefusal(request);
    if (refusal !== undefined) return err(refusal);
    if (!request.repeatable) this.ledger.add(request.id.id, 'sent', now);
    this.running++;
    try {
      const answer = await this.run(request);
      if (answer.isOk()) return ok(answer.value);
      if (answer.error.outcome === 'not-run') {
        this.ledger.remove(request.id.id, 'sent');
      }
      return err({error: answer.error});
    } finally {
      this.running--;
    }
  }

  private findRefusal(request: PlainRequest): OwnerRefusal | undefined {
    const {id, repeatable} = request;
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
    request: PlainRequest,
  ): Promise<Result<PlainAnswer, KnownError>> {
    const avoidAddresses = new Set<string>();
    const admitted = await this.parts.admission.submit({
      id: request.id.id,
      service: request.service,
      team: request.team,
      weight: request.weight,
      cost: 1,
      maxQueue: request.spec.maxQueue,
      maxQueueMs: request.maxQueueMs,
      maxInFlight: request.maxInFlight,
      signal: request.signal,
      chooseEndpoint: () => this.chooseEndpoint(request, avoidAddresses),
    });
    if (admitted.isErr()) return err(admitted.error);
    this.retryBudget.addFirstAttempt();
    try {
      return await this.tryEndpoints(
        request,
        admitted.value.endpoint,
        avoidAddresses,
      );
    } finally {
      admitted.value.release();
    }
  }

  private async tryEndpoints(
    request: PlainRequest,
    first: EndpointRecord,
    avoidAddresses: Set<string>,
  ): Promise<Result<PlainAnswer, KnownError>> {
    let endpoint: EndpointRecord | undefined = first;
    let detail = 'no endpoint has room';
    let mayHaveRun = false;
    for (let attempts = 1; endpoint !== undefined; attempts++) {
      const answer = await this.send(request, endpoint);
      if (answer.isOk()) return ok(answer.value);
      detail = answer.error.message;
      const hasNotRun = answer.error.outcome === 'not-run';
      mayHaveRun ||= !hasNotRun;
      avoidAddresses.add(endpoint.address);
      if (!hasNotRun && !request.repeatable) break;
      const now = this.parts.clock.getNow();
      if (attempts >= MAX_ATTEMPTS || !this.retryBudget.takeRetry(now)) break;
      endpoint = this.chooseEndpoint(request, avoidAddresses);
      endpoint?.startRequest();
    }
    const {service} = request;
    return err(
      mayHaveRun
        ? DAEMON_ERRORS.create('call_lost', {service, detail}, 1)
        : DAEMON_ERRORS.create('no_endpoint', {service}, 1),
    );
  }

  private async send(
    request: PlainRequest,
    endpoint: EndpointRecord,
  ): Promise<Result<PlainAnswer, KnownError>> {
    const {plain} = endpoint.clients;
    const {service} = request;
    if (plain === undefined) {
      return err(DAEMON_ERRORS.create('no_endpoint', {service}, 1));
    }
    const timeoutMs = request.spec.callMs;
    const answer = await plain.send({...request.call, timeoutMs});
    const outcome = answer.isOk() ? 'answered' : answer.error.kind;
    this.parts.sentCalls.inc({service, outcome});
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

  private chooseEndpoint(
    request: PlainRequest,
    avoidAddresses: ReadonlySet<string>,
  ): EndpointRecord | undefined {
    const {configuration, directory, random} = this.parts;
    const rules = configuration.listSpecs('placementRule');
    const placement = computePlacementConstraints(
      rules,
      request.service,
      request.team,
    );
    const records = directory
      .listUsable(request.service)
      .filter((record) => isDomainAllowed(placement, record.failureDomain));
    const view = chooseEndpoint(
      records.map((record) => record.getView()),
      {
        blockCount: 0,
        avoidAddresses,
        mayRetryLost: true,
        avoidDomains: new Set(),
        preferDomains: placement.preferred,
        maxLoad: FULL_LOAD,
      },
      matchNoPrefix,
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
      sentCalls: new Counter({
        name: 'irisdock_calls_sent_total',
        help: 'Calls sent to plain endpoints, a count, by service and outcome.',
        labelNames: ['service', 'outcome'],
        registers: [context.metrics],
      }),
    });
    return {api};
  },
});
