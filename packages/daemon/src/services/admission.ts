/**
 * The service `admission`: who waits and who runs. Each service has a queue
 * of its own, so that long generations and small calls do not wait for each
 * other; a request leaves its queue when an endpoint has room for it.
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

/** A request that asks to run. */
export interface AdmissionRequest {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly weight: number;
  /** Expected work, in tokens; 1 for a plain call. */
  readonly cost: number;
  /** Bounds of the service's queue. */
  readonly maxQueue: number;
  readonly maxQueueMs: number;
  /** Requests that the team may have in flight here; 0 for any number. */
  readonly maxInFlight: number;
  /** Aborted when the caller is gone. */
  readonly signal: AbortSignal;
  /** Chooses an endpoint with room; undefined when there is none. */
  chooseEndpoint(): EndpointRecord | undefined;
}

/** A place on an endpoint; the holder gives it back with `end`. */
export interface AdmittedRequest {
  readonly endpoint: EndpointRecord;
  /** Gives the team's place back; the endpoint's is given back apart. */
  readonly release: () => void;
}

type Reply = (result: Result<AdmittedRequest, KnownError>) => void;

interface Waiting {
  readonly entry: AdmissionRequest;
  readonly since: number;
  readonly reply: Reply;
}

interface Gate {
  readonly queue: FairQueue;
  readonly estimate: WaitEstimate;
  readonly waiting: Map<string, Waiting>;
  maxQueue: number;
}

interface AdmissionParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly waits: Histogram;
  readonly refusals: Counter;
}

const HEADS = 16;
// A wait is only estimated; one near its bound would often be given up late.
const WAIT_MARGIN = 0.7;
const EXPIRY_MS = 20;

/** The queues of all services on this host. */
export class Admission {
  private readonly gates = new Map<string, Gate>();
  private readonly teams = new Map<string, number>();
  private expiry: NodeJS.Timeout | undefined;
  private leaving = false;

  constructor(private readonly parts: AdmissionParts) {}

  /** Requests admitted and not ended, by team. */
  get inFlight(): number {
    let sum = 0;
    for (const count of this.teams.values()) sum += count;
    return sum;
  }

  /** Gives how many requests wait for a service. */
  countWaiting(service: string): number {
    return this.gates.get(service)?.queue.size ?? 0;
  }

  /** Lists the services that have had requests. */
  listServices(): string[] {
    return [...this.gates.keys()];
  }

  /** Admits a request when an endpoint has room, or says why not. */
  async submit(
    entry: AdmissionRequest,
  ): Promise<Result<AdmittedRequest, KnownError>> {
    const refusal = this.findRefusal(entry);
    if (refusal !== undefined) return err(this.count(entry, refusal));
    const gate = this.getGate(entry);
    if (gate.queue.size === 0) {
      const endpoint = entry.chooseEndpoint();
      if (endpoint !== undefined) return ok(this.admit(entry, endpoint, 0));
    }
    return new Promise((reply) => {
      this.offer(gate, {entry, since: this.parts.clock.getNow(), reply});
    });
  }

  /** Lets waiting requests of a service run while there is room. */
  admitWaiting(service: string): void {
    const gate = this.gates.get(service);
    if (gate === undefined || gate.queue.size === 0) return;
    while (this.startOne(gate)) continue;
    if (gate.queue.size === 0) gate.estimate.endBusy();
  }

  /** Refuses new requests from now on. */
  startLeaving(): void {
    this.leaving = true;
  }

  /** Looks for what has waited too long, for as long as anything waits. */
  private planExpiry(): void {
    this.expiry ??= setTimeout(() => {
      this.expiry = undefined;
      this.dropExpired();
      const gates = [...this.gates.values()];
      if (gates.some((gate) => gate.queue.size > 0)) this.planExpiry();
    }, EXPIRY_MS);
  }

  /** Refuses what has waited too long. */
  private dropExpired(): void {
    const now = this.parts.clock.getNow();
    for (const [service, gate] of this.gates) {
      for (const waiter of gate.queue.takeExpired(now)) {
        const waiting = gate.waiting.get(waiter.id);
        const waitMs = Math.round(now - (waiting?.since ?? now));
        const retry = this.computeRetry(gate, waitMs);
        const data = {service, waitMs};
        const kind = 'waited_too_long';
        this.refuse(gate, waiter, DECISION_ERRORS.create(kind, data, retry));
      }
      if (gate.queue.size === 0) gate.estimate.endBusy();
    }
  }

  private findRefusal(entry: AdmissionRequest): KnownError | undefined {
    if (this.leaving) return DAEMON_ERRORS.create('leaving', {}, 1);
    const {team, service, maxInFlight: limit} = entry;
    if (entry.signal.aborted) {
      return DAEMON_ERRORS.create('caller_left', {service});
    }
    const used = this.teams.get(team) ?? 0;
    if (limit === 0 || used < limit) return undefined;
    const retry = computeRetryAfterSeconds(1000, this.getSpread());
    return DAEMON_ERRORS.create('team_at_limit', {team, limit}, retry);
  }

  private getGate(entry: AdmissionRequest): Gate {
    const known = this.gates.get(entry.service);
    if (known !== undefined) {
      known.maxQueue = entry.maxQueue;
      return known;
    }
    const gate: Gate = {
      queue: new FairQueue(() => gate.maxQueue),
      estimate: new WaitEstimate(),
      waiting: new Map(),
      maxQueue: entry.maxQueue,
    };
    this.gates.set(entry.service, gate);
    return gate;
  }

  private offer(gate: Gate, waiting: Waiting): void {
    const {entry} = waiting;
    const {service} = entry;
    const now = waiting.since;
    const wait = gate.estimate.getWaitMs(gate.queue.size + 1, now);
    if (wait !== undefined && wait > entry.maxQueueMs * WAIT_MARGIN) {
      const data = {service, waitMs: Math.round(wait)};
      const retry = this.computeRetry(gate, wait);
      const kind = 'would_wait_too_long';
      const error = DECISION_ERRORS.create(kind, data, retry);
      waiting.reply(err(this.count(entry, error)));
      return;
    }
    const offer = gate.queue.offer(createWaiter(entry, now));
    if (offer.outcome === 'refused') {
      const retry = this.computeRetry(gate, 1000);
      const error = DECISION_ERRORS.create('queue_full', {service}, retry);
      waiting.reply(err(this.count(entry, error)));
      return;
    }
    this.addWaiting(gate, waiting, now);
    if (offer.evicted === undefined) return;
    const retry = this.computeRetry(gate, 1000);
    const data = {service, team: offer.evicted.team};
    const error = DECISION_ERRORS.create('pushed_out', data, retry);
    this.refuse(gate, offer.evicted, error);
  }

  private addWaiting(gate: Gate, waiting: Waiting, now: number): void {
    const {id, service, signal} = waiting.entry;
    gate.waiting.set(id, waiting);
    this.planExpiry();
    gate.estimate.startBusy(now);
    signal.addEventListener(
      'abort',
      () => {
        if (!gate.queue.remove(id)) return;
        gate.waiting.delete(id);
        const error = DAEMON_ERRORS.create('caller_left', {service});
        waiting.reply(err(error));
      },
      {once: true},
    );
  }

  /** Lets the first waiting request run for which there is room. */
  private startOne(gate: Gate): boolean {
    for (const waiter of gate.queue.listHeads(HEADS)) {
      const waiting = gate.waiting.get(waiter.id);
      const endpoint = waiting?.entry.chooseEndpoint();
      if (waiting === undefined || endpoint === undefined) continue;
      const now = this.parts.clock.getNow();
      gate.queue.takeHead(waiter.team);
      gate.waiting.delete(waiter.id);
      gate.estimate.recordDequeue(now);
      const waitMs = now - waiting.since;
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
    this.teams.set(team, (this.teams.get(team) ?? 0) + 1);
    this.parts.waits.observe({service}, waitMs / 1000);
    const end = (): void => {
      const left = (this.teams.get(team) ?? 1) - 1;
      if (left === 0) this.teams.delete(team);
      else this.teams.set(team, left);
    };
    return {endpoint, release: end};
  }

  private refuse(gate: Gate, waiter: QueuedRequest, error: KnownError): void {
    const waiting = gate.waiting.get(waiter.id);
    gate.waiting.delete(waiter.id);
    if (waiting === undefined) return;
    waiting.reply(err(this.count(waiting.entry, error)));
  }

  private count(entry: AdmissionRequest, error: KnownError): KnownError {
    this.parts.refusals.inc({service: entry.service, kind: error.kind});
    return error;
  }

  private computeRetry(gate: Gate, fallbackMs: number): number {
    const now = this.parts.clock.getNow();
    const wait = gate.estimate.getWaitMs(gate.queue.size + 1, now);
    return computeRetryAfterSeconds(wait ?? fallbackMs, this.getSpread());
  }

  private getSpread(): number {
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
      waits: new Histogram({
        name: 'irisdock_admission_wait_seconds',
        help: 'Time that admitted requests waited, by service.',
        labelNames: ['service'],
        buckets: WAIT_BUCKETS,
        registers,
      }),
      refusals: new Counter({
        name: 'irisdock_admission_refusals_total',
        help: 'Requests refused without running, a count, by service and kind.',
        labelNames: ['service', 'kind'],
        registers,
      }),
    });
    new Gauge({
      name: 'irisdock_admission_waiting',
      help: 'Requests that wait, a count, by service.',
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
