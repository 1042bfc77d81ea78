/**
 * The service `membership`: this host's view of the hosts of the deployment.
 * From its contact with them and with the table it decides whether this host
 * may serve callers and accept configuration changes.
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

/** Maintains the membership view of this host and publishes its updates. */
export class Membership {
  /** Member notes that are new to this host, to be forwarded to others. */
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

  /** Whether this host has announced that it is leaving. */
  get isLeaving(): boolean {
    return this.view.self.state === 'leaving';
  }

  /** Applies member notes from another host. */
  applyNotes(notes: readonly MemberNote[]): void {
    this.post(this.view.applyNotes(notes, this.clock.getNow()));
  }

  /** Applies the entry hosts of the host list, by peer address. */
  applyHostList(peers: ReadonlyMap<string, 'leaving' | 'live'>): void {
    this.post(this.view.applyHostList(peers, this.clock.getNow()));
  }

  /** Records that a host's peer address refused a connection. */
  recordConnectionRefused(hostId: string): void {
    this.post(this.view.recordConnectionRefused(hostId, this.clock.getNow()));
  }

  /** Applies the state changes whose timeouts have expired. */
  applyTimeouts(): void {
    this.post(this.view.applyTimeouts(this.clock.getNow()));
  }

  /** Announces to the other hosts that this one is leaving. */
  startLeaving(): void {
    this.post([this.view.updateSelf({state: 'leaving'})]);
  }

  /** Decides whether this host may accept new requests. */
  getServingDecision(): ServingDecision {
    return decideServing(this.getContactState());
  }

  /** Decides whether this host may accept configuration changes. */
  isChangeAllowed(): boolean {
    return isChangeAllowed(this.getContactState());
  }

  private getContactState(): ContactState {
    const {heard, known} = this.view.countHosts();
    return {
      configured: this.configuration.isLoaded,
      tableAgeMs: this.configuration.tableAgeMs,
      hostsHeard: heard,
      hostsKnown: known,
      maxTableAgeMs: this.maxTableAgeMs,
    };
  }

  private post(notes: readonly MemberNote[]): void {
    if (notes.length > 0) this.channel.post(notes);
  }
}

/** The key of the service. */
export const MEMBERSHIP = createServiceKey<Membership>('membership');

const TIMEOUT_CHECK_INTERVAL_MS = 250;

const SETTINGS = z.object({
  suspectAfterMs: z.coerce
    .number()
    .int()
    .min(100)
    .default(DEFAULT_MEMBERSHIP_TIMEOUTS.suspectAfterMs)
    .meta({
      unit: 'ms',
      description:
        'Time without a heartbeat after which a host gets no new callers.',
    }),
  deadAfterMs: z.coerce
    .number()
    .int()
    .min(100)
    .default(DEFAULT_MEMBERSHIP_TIMEOUTS.deadAfterMs)
    .meta({
      unit: 'ms',
      description: 'Time in state suspect after which a host counts as dead.',
    }),
  goneAfterMs: z.coerce
    .number()
    .int()
    .min(100)
    .default(DEFAULT_MEMBERSHIP_TIMEOUTS.goneAfterMs)
    .meta({
      unit: 'ms',
      description:
        'Like deadAfterMs, for a host whose address refuses connections.',
    }),
  maxTableAgeMs: z.coerce.number().int().min(500).default(8000).meta({
    unit: 'ms',
    description: 'Table contact age beyond which serving requires a majority.',
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
    const timeouts = {...DEFAULT_MEMBERSHIP_TIMEOUTS, ...settings};
    const api = new Membership(
      new MembershipView(own, timeouts),
      context.find(CONFIGURATION),
      context.clock,
      settings.maxTableAgeMs,
    );
    new Gauge({
      name: 'irisdock_membership_hosts',
      help: 'Hosts in the view of this host, a count, by state.',
      labelNames: ['state'],
      registers: [context.metrics],
      collect() {
        this.reset();
        for (const {state} of api.view.list()) this.inc({state});
      },
    });
    const ticks = new Repeater(
      (signal) => context.clock.wait(TIMEOUT_CHECK_INTERVAL_MS, signal),
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
