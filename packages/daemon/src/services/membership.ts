/**
 * The service `membership`: the hosts of the deployment as this one sees
 * them, and whether it may serve with what it has in force.
 */
import {
  Channel,
  createService,
  createServiceKey,
  Repeater,
  type Clock,
} from '@irisdock/kernel';
import {
  decideServing,
  isChangeAllowed,
  DEFAULT_MEMBERSHIP_TIMEOUTS,
  MembershipView,
  type ContactState,
  type MemberNote,
  type ServingDecision,
} from '@irisdock/decisions';
import type {Stream} from 'most';
import {Gauge} from 'prom-client';
import * as z from 'zod';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {HOST} from './host.js';

/** The hosts as this one sees them. */
export class Membership {
  /** Notes that are news here and to be passed on. */
  readonly updates: Stream<readonly MemberNote[]>;
  private readonly channel = new Channel<readonly MemberNote[]>();

  constructor(
    readonly view: MembershipView,
    private readonly configuration: Configuration,
    private readonly clock: Clock,
    private readonly maxTableAgeMs: number,
  ) {
    this.updates = this.channel.stream;
  }

  /** Whether this host is leaving. */
  get isLeaving(): boolean {
    return this.view.self.state === 'leaving';
  }

  /** Takes notes from another host. */
  applyNotes(notes: readonly MemberNote[]): void {
    this.post(this.view.applyNotes(notes, this.clock.getNow()));
  }

  /** Takes the entry hosts of the host list. */
  applyHostList(peers: ReadonlyMap<string, 'leaving' | 'live'>): void {
    this.post(this.view.applyHostList(peers, this.clock.getNow()));
  }

  /** Takes it that a host's address refused a connection. */
  recordConnectionRefused(hostId: string): void {
    this.post(this.view.recordConnectionRefused(hostId, this.clock.getNow()));
  }

  /** Moves on with time. */
  applyTimeouts(): void {
    this.post(this.view.applyTimeouts(this.clock.getNow()));
  }

  /** Tells the others that this host is leaving. */
  startLeaving(): void {
    this.post([this.view.updateSelf({state: 'leaving'})]);
  }

  /** Decides whether this host may take new work. */
  getServingDecision(): ServingDecision {
    return decideServing(this.getContact());
  }

  /** Decides whether this host may accept changes. */
  isChangeAllowed(): boolean {
    return isChangeAllowed(this.getContact());
  }

  private getContact(): ContactState {
    const {heard, known} = this.view.countHosts();
    return {
      configured: this.configuration.isLoaded,
      tableAgeMs: this.configuration.tableAgeMs,
      hostsHeard: heard,
      hostsKnown: known,
      maxTableAgeMs: this.maxTableAgeMs,
    };
  }

  private post(news: readonly MemberNote[]): void {
    if (news.length > 0) this.channel.post(news);
  }
}

/** The key of the service. */
export const MEMBERSHIP = createServiceKey<Membership>('membership');

const TICK_MS = 250;

const SETTINGS = z.object({
  suspectAfterMs: z.coerce
    .number()
    .int()
    .min(100)
    .default(DEFAULT_MEMBERSHIP_TIMEOUTS.suspectAfterMs)
    .meta({
      unit: 'ms',
      description: 'Silence after which a host gets no more callers.',
    }),
  deadAfterMs: z.coerce
    .number()
    .int()
    .min(100)
    .default(DEFAULT_MEMBERSHIP_TIMEOUTS.deadAfterMs)
    .meta({
      unit: 'ms',
      description: 'Suspicion after which a host counts as dead.',
    }),
  goneAfterMs: z.coerce
    .number()
    .int()
    .min(100)
    .default(DEFAULT_MEMBERSHIP_TIMEOUTS.goneAfterMs)
    .meta({
      unit: 'ms',
      description: 'The same for one whose address refuses connections.',
    }),
  maxTableAgeMs: z.coerce.number().int().min(500).default(8000).meta({
    unit: 'ms',
    description: 'How old the word of the table may be before a host stops.',
  }),
});

/** Declares the service. */
export const MEMBERSHIP_SERVICE = createService({
  key: MEMBERSHIP,
  settings: SETTINGS,
  needs: [CONFIGURATION, HOST],
  create(context, settings) {
    const {hostId, incarnation, failureDomain, callerAddress, peerAddress} =
      context.find(HOST);
    const own: MemberNote = {
      hostId,
      incarnation,
      sequence: 1,
      state: 'live',
      callerAddress,
      peerAddress,
      failureDomain,
      revision: 0,
    };
    const times = {...DEFAULT_MEMBERSHIP_TIMEOUTS, ...settings};
    const api = new Membership(
      new MembershipView(own, times),
      context.find(CONFIGURATION),
      context.clock,
      settings.maxTableAgeMs,
    );
    new Gauge({
      name: 'irisdock_membership_hosts',
      help: 'Hosts as this one sees them, a count, by state.',
      labelNames: ['state'],
      registers: [context.metrics],
      collect() {
        this.reset();
        for (const {state} of api.view.list()) this.inc({state});
      },
    });
    const ticks = new Repeater(
      (signal) => context.clock.wait(TICK_MS, signal),
      () => {
        api.applyTimeouts();
        return Promise.resolve();
      },
      context.log,
    );
    return {
      api,
      start() {
        ticks.start();
        return Promise.resolve();
      },
      stop: () => ticks.stop(),
    };
  },
});
