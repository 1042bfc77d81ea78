/**
 * The service `callers`: serves the API for callers. It also drains this host:
 * it announces that the host is leaving, keeps serving while callers may still
 * use its address from earlier address responses, and then waits for the
 * requests in flight, until their callers have taken the responses.
 */
import {
  createService,
  createServiceKey,
  type Clock,
  type KnownError,
  type Logger,
  type Random,
} from '@irisdock/kernel';
import {chooseAddresses, type MemberNote} from '@irisdock/decisions';
import {sendJson, type Route, type WebRequest} from '@irisdock/web';
import * as z from 'zod';
import {CompletionRoute} from '../caller/completion_route.js';
import {PlainRoute} from '../caller/plain_route.js';
import {DAEMON_ERRORS} from '../errors.js';
import {ADMISSION, type Admission} from './admission.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {HOST, type Host} from './host.js';
import {LISTENERS, type Listeners} from './listeners.js';
import {MEMBERSHIP, type Membership} from './membership.js';
import {OWNERSHIP, type Ownership} from './ownership.js';
import {PLAIN_CALLS, type PlainCalls} from './plain_calls.js';
import {STREAMS, type Streams} from './streams.js';

interface CallersParts {
  readonly host: Host;
  readonly listeners: Listeners;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly admission: Admission;
  readonly streams: Streams;
  readonly calls: PlainCalls;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly keepSeconds: number;
}

const MAX_REQUEST_IDS = 100;
const DRAIN_CHECK_INTERVAL_MS = 50;
const DRAIN_LOG_INTERVAL_MS = 5000;
// The lifetime of an address response is randomized by up to a quarter; the
// margin covers clock and network differences.
const MAX_KEEP_FACTOR = 1.25;
const KEEP_MARGIN_MS = 500;

/** Serves the API for callers and drains the host. */
export class Callers {
  constructor(private readonly parts: CallersParts) {}

  /** The number of requests in flight. */
  get inFlight(): number {
    return this.parts.streams.inFlight + this.parts.calls.inFlight;
  }

  /** Returns the error if this host accepts no new requests. */
  findRefusal(): KnownError | undefined {
    const decision = this.parts.membership.getServingDecision();
    if (decision === 'refuse_no_configuration') {
      return DAEMON_ERRORS.create('not_configured', {}, 1);
    }
    if (decision !== 'refuse_cut_off') return undefined;
    return DAEMON_ERRORS.create('cut_off', {}, 1);
  }

  /** Lists the routes of the API. */
  listRoutes(): Route[] {
    const {host, ownership} = this.parts;
    const parts = {
      ...this.parts,
      signer: host.signer,
      findRefusal: () => this.findRefusal(),
      createOwnId: () => ownership.createId(host),
    };
    const completions = new CompletionRoute(parts);
    const plain = new PlainRoute(parts);
    return [
      {
        method: 'GET',
        path: '/v1/addresses',
        handle: (request) => {
          this.sendAddresses(request);
        },
      },
      {
        method: 'GET',
        path: '/v1/models',
        handle: (request) => {
          this.sendModels(request);
        },
      },
      {
        method: 'POST',
        path: '/v1/completions',
        handle: (request) => completions.handle(request),
      },
      {
        method: '*',
        path: '/s/:service/*',
        handle: (request) => plain.handle(request),
      },
    ];
  }

  /** Drains this host without interrupting requests, as described above. */
  async drain(): Promise<void> {
    const {membership, clock, log, keepSeconds, listeners} = this.parts;
    membership.startLeaving();
    log.writeInfo('Announced that this host is leaving.', {
      inFlight: this.inFlight,
    });
    await clock.wait(keepSeconds * 1000 * MAX_KEEP_FACTOR + KEEP_MARGIN_MS);
    this.parts.admission.startLeaving();
    const {callers} = listeners;
    callers.closeIdle();
    let loggedAt = clock.getNow();
    while (this.inFlight + callers.openResponses > 0) {
      await clock.wait(DRAIN_CHECK_INTERVAL_MS);
      callers.closeIdle();
      if (clock.getNow() - loggedAt < DRAIN_LOG_INTERVAL_MS) continue;
      loggedAt = clock.getNow();
      log.writeInfo('Waiting for requests in flight.', {
        inFlight: this.inFlight,
        openResponses: callers.openResponses,
      });
    }
    log.writeInfo('Drained.');
  }

  private sendAddresses(request: WebRequest): void {
    const {membership, ownership, keepSeconds, random} = this.parts;
    const query = request.url.searchParams;
    const requestedDomain = query.get('failureDomain') ?? undefined;
    const requested = Number(query.get('ids') ?? 1);
    const ids = Math.min(
      MAX_REQUEST_IDS,
      Math.max(0, Math.floor(requested) || 0),
    );
    const serving = membership.view.listServing();
    const choice = chooseAddresses(
      serving,
      requestedDomain,
      keepSeconds,
      random,
    );
    const createIds = (note: MemberNote | undefined): string[] =>
      note === undefined
        ? []
        : Array.from({length: ids}, () => ownership.createId(note));
    const addresses = choice.addresses.map(({address, failureDomain}) => ({
      address,
      failureDomain,
      requestIds: createIds(serving.find((m) => m.callerAddress === address)),
    }));
    const {keepForSeconds} = choice;
    sendJson(request.response, 200, {addresses, keepForSeconds});
  }

  private sendModels(request: WebRequest): void {
    const services = this.parts.configuration.listKind('service');
    const data = services
      .filter(({name}) => {
        const spec = this.parts.configuration.findSpec('service', name);
        return spec?.type === 'generation';
      })
      .map(({name}) => ({id: name, object: 'model', owned_by: 'irisdock'}));
    sendJson(request.response, 200, {object: 'list', data});
  }
}

/** The key of the service. */
export const CALLERS = createServiceKey<Callers>('callers');

const SETTINGS = z.object({
  keepAddressSeconds: z.coerce.number().min(0).default(10).meta({
    unit: 's',
    description: 'Average time that callers may cache an address response.',
  }),
});

/** Declares the service. */
export const CALLERS_SERVICE = createService({
  key: CALLERS,
  settings: SETTINGS,
  needs: [
    ADMISSION,
    CONFIGURATION,
    HOST,
    LISTENERS,
    MEMBERSHIP,
    OWNERSHIP,
    PLAIN_CALLS,
    STREAMS,
  ],
  create(context, settings) {
    const listeners = context.find(LISTENERS);
    const api = new Callers({
      host: context.find(HOST),
      listeners,
      configuration: context.find(CONFIGURATION),
      membership: context.find(MEMBERSHIP),
      ownership: context.find(OWNERSHIP),
      admission: context.find(ADMISSION),
      streams: context.find(STREAMS),
      calls: context.find(PLAIN_CALLS),
      clock: context.clock,
      random: context.random,
      log: context.log,
      keepSeconds: settings.keepAddressSeconds,
    });
    return {
      api,
      start() {
        listeners.callers.setRoutes(api.listRoutes());
        return Promise.resolve();
      },
      drain: () => api.drain(),
    };
  },
});
