/**
 * The service `admission`: decides whether a request runs, waits or is refused.
 * Each service has its own queue, so that short calls do not wait behind long
 * generations. A request leaves its queue when an endpoint has capacity for it.
 */
import {
  createService,
  createServiceKey,
  type Clock,
  type KnownError,
  type Random,
} from '@irisdock/kernel';
import {
  computeRetryAfterSeconds,
  DECISION_ERRORS,
  FairQueue,
  WaitEstimate,
  type QueuedRequest,
} from '@irisdock/decisions';
import {err, ok, type Result} from 'neverthrow';
import {Counter, Gauge, Histogram} from 'prom-client';
import * as z from 'zod';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import {DAEMON_ERRORS} from '../errors.js';
import {ENDPOINTS} from './endpoint_directory.js';

/** A request for admission. */
export interface AdmissionRequest {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly weight: number;
  /** Expected work, in tokens; 1 for a plain call. */
  readonly cost: number;
  /** Limits of the service's queue. */
  readonly maxQueue: number;
  readonly maxQueueMs: number;
  /** The team's limit of requests in flight on this host; 0 for no limit. */
  readonly maxInFlight: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Chooses an endpoint with capacity; undefined when there is none. */
  chooseEndpoint(): EndpointRecord | undefined;
}

/** An admitted request and the endpoint that was chosen for it. */
export interface AdmittedRequest {
  readonly endpoint: EndpointRecord;
  /**
   * Releases the request's share of the team limit. The endpoint's slot is
   * released separately, by `endRequest` of its record.
   */
  readonly release: () => void;
}

type Reply = (result: Result<AdmittedRequest, KnownError>) => void;

interface WaitingRequest {
  readonly entry: AdmissionRequest;
  readonly queuedAt: number;
  readonly reply: Reply;
}

interface ServiceQueue {
  readonly queue: FairQueue;
  readonly estimate: WaitEstimate;
  readonly waiting: Map<string, WaitingRequest>;
  maxQueue: number;
}

interface AdmissionParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly waitSeconds: Histogram;
  readonly refusals: Counter;
}

/** Teams whose first request is tried when capacity becomes free. */
const MAX_HEADS_TRIED = 16;
// A wait is only an estimate: a request queued with an estimate close to its
// limit would often expire after a long wait.
const MAX_WAIT_FRACTION = 0.7;
const EXPIRY_CHECK_INTERVAL_MS = 20;

/** Admits requests and holds the queues of all services on this host. */
export class Admission {
  private readonly serviceQueues = new Map<string, ServiceQueue>();
  private readonly inFlightByTeam = new Map<string, number>();
  private expiryTimer: NodeJS.Timeout | undefined;
  private isLeaving = false;

  constructor(private readonly parts: AdmissionParts) {}

  /** The number of admitted requests that have not been released. */
  get inFlight(): number {
    let sum = 0;
    for (const count of this.inFlightByTeam.values()) sum += count;
    return sum;
  }

  /** Returns the number of requests queued for a service. */
  countWaiting(service: string): number {
    return this.serviceQueues.get(service)?.queue.size ?? 0;
  }

  /** Lists the services that have received requests. */
  listServices(): string[] {
    return [...this.serviceQueues.keys()];
  }

  /** Admits a request, if necessary after queueing, or refuses it. */
  async submit(
    entry: AdmissionRequest,
  ): Promise<Result<AdmittedRequest, KnownError>> {
    const refusal = this.findRefusal(entry);
    if (refusal !== undefined) return err(this.countRefusal(entry, refusal));
    const serviceQueue = this.getServiceQueue(entry);
    if (serviceQueue.queue.size === 0) {
      const endpoint = entry.chooseEndpoint();
      if (endpoint !== undefined) return ok(this.admit(entry, endpoint, 0));
    }
    return new Promise((reply) => {
      this.addOrRefuse(serviceQueue, {
        entry,
        queuedAt: this.parts.clock.getNow(),
        reply,
      });
    });
  }

  /** Admits queued requests of a service while there is capacity. */
  admitWaiting(service: string): void {
    const serviceQueue = this.serviceQueues.get(service);
    if (serviceQueue === undefined || serviceQueue.queue.size === 0) return;
    while (this.admitNext(serviceQueue)) continue;
    if (serviceQueue.queue.size === 0) serviceQueue.estimate.endBusy();
  }

  /** Refuses all new requests from now on. */
  startLeaving(): void {
    this.isLeaving = true;
  }

  /** Schedules the expiry check as long as any request is queued. */
  private planExpiry(): void {
    this.expiryTimer ??= setTimeout(() => {
      this.expiryTimer = undefined;
      this.dropExpired();
      const queues = [...this.serviceQueues.values()];
      if (queues.some((each) => each.queue.size > 0)) this.planExpiry();
    }, EXPIRY_CHECK_INTERVAL_MS);
  }

  /** Refuses the queued requests that have reached their deadline. */
  private dropExpired(): void {
    const now = this.parts.clock.getNow();
    for (const [service, serviceQueue] of this.serviceQueues) {
      for (const waiter of serviceQueue.queue.takeExpired(now)) {
        const waiting = serviceQueue.waiting.get(waiter.id);
        const waitMs = Math.round(now - (waiting?.queuedAt ?? now));
        const retry = this.computeRetrySeconds(serviceQueue, waitMs);
        const data = {service, waitMs};
        const kind = 'waited_too_long';
        this.refuse(
          serviceQueue,
          waiter,
          DECISION_ERRORS.create(kind, data, retry),
        );
      }
      if (serviceQueue.queue.size === 0) serviceQueue.estimate.endBusy();
    }
  }

  private findRefusal(entry: AdmissionRequest): KnownError | undefined {
    if (this.isLeaving) return DAEMON_ERRORS.create('leaving', {}, 1);
    const {team, service, maxInFlight: limit} = entry;
    if (entry.signal.aborted) {
      return DAEMON_ERRORS.create('caller_left', {service});
    }
    const used = this.inFlightByTeam.get(team) ?? 0;
    if (limit === 0 || used < limit) return undefined;
    const retry = computeRetryAfterSeconds(1000, this.getJitter());
    return DAEMON_ERRORS.create('team_at_limit', {team, limit}, retry);
  }

  private getServiceQueue(entry: AdmissionRequest): ServiceQueue {
    const known = this.serviceQueues.get(entry.service);
    if (known !== undefined) {
      known.maxQueue = entry.maxQueue;
      return known;
    }
    const serviceQueue: ServiceQueue = {
      queue: new FairQueue(() => serviceQueue.maxQueue),
      estimate: new WaitEstimate(),
      waiting: new Map(),
      maxQueue: entry.maxQueue,
    };
    this.serviceQueues.set(entry.service, serviceQueue);
    return serviceQueue;
  }

  private addOrRefuse(
    serviceQueue: ServiceQueue,
    waiting: WaitingRequest,
  ): void {
    const {entry} = waiting;
    const {service} = entry;
    const now = waiting.queuedAt;
    const wait = serviceQueue.estimate.getWaitMs(
      serviceQueue.queue.size + 1,
      now,
    );
    if (wait !== undefined && wait > entry.maxQueueMs * MAX_WAIT_FRACTION) {
      const data = {service, waitMs: Math.round(wait)};
      const retry = this.computeRetrySeconds(serviceQueue, wait);
      const kind = 'would_wait_too_long';
      const error = DECISION_ERRORS.create(kind, data, retry);
      waiting.reply(err(this.countRefusal(entry, error)));
      return;
    }
    const offer = serviceQueue.queue.offer(createWaiter(entry, now));
    if (offer.outcome === 'refused') {
      const retry = this.computeRetrySeconds(serviceQueue, 1000);
      const error = DECISION_ERRORS.create('queue_full', {service}, retry);
      waiting.reply(err(this.countRefusal(entry, error)));
      return;
    }
    this.addWaiting(serviceQueue, waiting, now);
    if (offer.evicted === undefined) return;
    const retry = this.computeRetrySeconds(serviceQueue, 1000);
    const data = {service, team: offer.evicted.team};
    const error = DECISION_ERRORS.create('pushed_out', data, retry);
    this.refuse(serviceQueue, offer.evicted, error);
  }

  private addWaiting(
    serviceQueue: ServiceQueue,
    waiting: WaitingRequest,
    now: number,
  ): void {
    const {id, service, signal} = waiting.entry;
    serviceQueue.waiting.set(id, waiting);
    this.planExpiry();
    serviceQueue.estimate.startBusy(now);
    signal.addEventListener(
      'abort',
      () => {
        if (!serviceQueue.queue.remove(id)) return;
        serviceQueue.waiting.delete(id);
        const error = DAEMON_ERRORS.create('caller_left', {service});
        waiting.reply(err(error));
      },
      {once: true},
    );
  }

  /** Admits the first queued request that an endpoint has capacity for. */
  private admitNext(serviceQueue: ServiceQueue): boolean {
    for (const waiter of serviceQueue.queue.listHeads(MAX_HEADS_TRIED)) {
      const waiting = serviceQueue.waiting.get(waiter.id);
      const endpoint = waiting?.entry.chooseEndpoint();
      if (waiting === undefined || endpoint === undefined) continue;
      const now = this.parts.clock.getNow();
      serviceQueue.queue.takeHead(waiter.team);
      serviceQueue.waiting.delete(waiter.id);
      serviceQueue.estimate.recordDequeue(now);
      const waitMs = now - waiting.queuedAt;
      waiting.reply(ok(this.admit(waiting.entry, endpoint, waitMs)));
      return true;
    }
    return false;
  }

  private admit(
    entry: AdmissionRequest,
    endpoint: EndpointRecord,
    waitMs: number,
  ): AdmittedRequest {
    const {team, service} = entry;
    endpoint.startRequest();
    this.inFlightByTeam.set(team, (this.inFlightByTeam.get(team) ?? 0) + 1);
    this.parts.waitSeconds.observe({service}, waitMs / 1000);
    const release = (): void => {
      const left = (this.inFlightByTeam.get(team) ?? 1) - 1;
      if (left === 0) this.inFlightByTeam.delete(team);
      else this.inFlightByTeam.set(team, left);
    };
    return {endpoint, release};
  }

  private refuse(
    serviceQueue: ServiceQueue,
    waiter: QueuedRequest,
    error: KnownError,
  ): void {
    const waiting = serviceQueue.waiting.get(waiter.id);
    serviceQueue.waiting.delete(waiter.id);
    if (waiting === undefined) return;
    waiting.reply(err(this.countRefusal(waiting.entry, error)));
  }

  private countRefusal(entry: AdmissionRequest, error: KnownError): KnownError {
    this.parts.refusals.inc({service: entry.service, kind: error.kind});
    return error;
  }

  private computeRetrySeconds(
    serviceQueue: ServiceQueue,
    fallbackMs: number,
  ): number {
    const now = this.parts.clock.getNow();
    const wait = serviceQueue.estimate.getWaitMs(
      serviceQueue.queue.size + 1,
      now,
    );
    return computeRetryAfterSeconds(wait ?? fallbackMs, this.getJitter());
  }

  private getJitter(): number {
    return this.parts.random.getInt(100) / 100;
  }
}

/** The key of the service. */
export const ADMISSION = createServiceKey<Admission>('admission');

const WAIT_BUCKETS = [0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Declares the service. */
export const ADMISSION_SERVICE = createService({
  key: ADMISSION,
  settings: z.object({}),
  needs: [ENDPOINTS],
  create(context) {
    const registers = [context.metrics];
    const api = new Admission({
      clock: context.clock,
      random: context.random,
      waitSeconds: new Histogram({
        name: 'irisdock_admission_wait_seconds',
        help: 'Queueing time of admitted requests, by service.',
        labelNames: ['service'],
        buckets: WAIT_BUCKETS,
        registers,
      }),
      refusals: new Counter({
        name: 'irisdock_admission_refusals_total',
        help: 'Requests refused before they ran, a count, by service and kind.',
        labelNames: ['service', 'kind'],
        registers,
      }),
    });
    new Gauge({
      name: 'irisdock_admission_waiting',
      help: 'Queued requests, a count, by service.',
      labelNames: ['service'],
      registers,
      collect() {
        for (const service of api.listServices()) {
          this.set({service}, api.countWaiting(service));
        }
      },
    });
    return {
      api,
      start() {
        void context.find(ENDPOINTS).capacityUpdates.observe((service) => {
          api.admitWaiting(service);
        });
        return Promise.resolve();
      },
    };
  },
});

function createWaiter(entry: AdmissionRequest, now: number): QueuedRequest {
  const {id, team, weight, cost, maxQueueMs} = entry;
  return {id, team, weight, cost, deadlineAt: now + maxQueueMs};
}
