/**
 * The service `callers`: what callers talk to. It also drains this host: it
 * tells the others and the callers that the host is leaving, serves on while
 * old address answers may be in use, and then waits for the last answer.
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

const MAX_IDS = 100;
const DRAIN_CHECK_MS = 50;
const DRAIN_LOG_MS = 5000;
// The answer's time varies by a quarter, and clocks and links by a little.
const KEEP_FACTOR = 1.25;
const KEEP_MARGIN_MS = 500;

/** What callers talk to. */
export class Callers {
  constructor(private readonly parts: CallersParts) {}

  /** Requests under way. */
  get inFlight(): number {
    return this.parts.streams.inFlight + this.parts.calls.inFlight;
  }

  /** Gives the reason why this host takes no new work, if there is one. */
  findRefusal(): KnownError | undefined {
    const right = this.parts.membership.getServingDecision();
    if (right === 'refuse_no_configuration') {
      return DAEMON_ERRORS.create('not_configured', {}, 1);
    }
    if (right !== 'refuse_cut_off') return undefined;
    return DAEMON_ERRORS.create('cut_off', {}, 1);
  }

  /** Lists what is served. */
  listRoutes(): Route[] {
    const {host, ownership} = this.parts;
    const parts = {
      ...this.parts,
      signer: host.signer,
      findBar: () => this.findRefusal(),
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

  /** Leaves without cutting a request: see the module's head. */
  async drain(): Promise<void> {
    const {membership, clock, log, keepSeconds, listeners} = this.parts;
    membership.startLeaving();
    log.writeInfo('Leaving.', {inFlight: this.inFlight});
    await clock.wait(keepSeconds * 1000 * KEEP_FACTOR + KEEP_MARGIN_MS);
    this.parts.admission.startLeaving();
    listeners.callers.closeIdle();
    let loggedAt = clock.getNow();
    while (this.inFlight > 0) {
      await clock.wait(DRAIN_CHECK_MS);
      if (clock.getNow() - loggedAt < DRAIN_LOG_MS) continue;
      loggedAt = clock.getNow();
      log.writeInfo('Waiting for the last answers.', {inFlight: this.inFlight});
    }
    log.writeInfo('Drained.');
  }

  private sendAddresses(request: WebRequest): void {
    const {membership, ownership, keepSeconds, random} = this.parts;
    const query = request.url.searchParams;
    const domain = query.get('failureDomain') ?? undefined;
    const wanted = Number(query.get('ids') ?? 1);
    const ids = Math.min(MAX_IDS, Math.max(0, Math.floor(wanted) || 0));
    const serving = membership.view.listServing();
    const answer = chooseAddresses(serving, domain, keepSeconds, random);
    const createIds = (note: MemberNote | undefined): string[] =>
      note === undefined
        ? []
        : Array.from({length: ids}, () => ownership.createId(note));
    const addresses = answer.addresses.map(({address, failureDomain}) => ({
      address,
      failureDomain,
      requestIds: createIds(serving.find((m) => m.callerAddress === address)),
    }));
    const {keepForSeconds} = answer;
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
    description: 'How long callers may keep an address answer, on average.',
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
