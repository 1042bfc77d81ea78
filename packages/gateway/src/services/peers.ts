/**
 * The service `peers`: the other hosts. Each host tells the others a few
 * times a second by datagrams that it is there, which revisions it has, and
 * what it has running. Who sees that another knows a newer change, and does
 * not get it from the store itself, asks that host for it.
 */
import {HeardHosts} from '@irisdock/decisions';
import {
  createService,
  createServiceKey,
  getShuffled,
  IP_PORT_SCHEMA,
  type Clock,
  type Logger,
  type Random,
} from '@irisdock/kernel';
import {Gauge} from 'prom-client';
import {z} from 'zod';
import {DatagramSocket} from '../channels/datagram_socket.js';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
  type PeerPlace,
  type PeerState,
} from '../model/peer_message.js';
import {GATEWAY_ENDPOINTS, type GatewayEndpoints} from './endpoints.js';
import {HOST_IDENTITY} from './identity.js';
import {PeerTableLoader} from './peer_table_loader.js';
import {TABLES_KEY, type Tables} from './tables.js';

/** What the peers need of the rest. */
interface PeersParts {
  readonly place: PeerPlace;
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly tables: Tables;
  readonly endpoints: GatewayEndpoints;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** Silence after which a host is left out of answers, in ms. */
const SILENT_AFTER_MS = 1300;
/** Silence after which a host is forgotten, in ms. */
const FORGET_AFTER_MS = 60_000;
/** How many other hosts a datagram names. */
const MAX_NAMED = 8;
/** The most hosts that get a datagram at one beat. */
const MAX_SENT_TO = 24;
/** Beats between two tries of places that do not answer. */
const UNHEARD_EVERY = 5;

/** The other hosts. */
export class Peers {
  /** Whether this host takes callers; set by the service that knows. */
  getState: () => PeerState = () => 'starting';
  private readonly heard = new HeardHosts<PeerMessage>({
    silentAfterMs: SILENT_AFTER_MS,
    forgetAfterMs: FORGET_AFTER_MS,
  });
  private readonly socket: DatagramSocket;
  private readonly loader: PeerTableLoader;
  /** Places that were named but not heard, with the tries left. */
  private readonly unheard = new Map<string, number>();
  private sequence = 0;

  constructor(private readonly parts: PeersParts) {
    this.loader = new PeerTableLoader(parts.tables, parts.random, parts.log);
    this.socket = new DatagramSocket((bytes) => {
      this.handleDatagram(bytes);
    });
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    await this.socket.start(this.parts.place.datagrams);
  }

  /** Where this host can be reached. */
  get place(): PeerPlace {
    return this.parts.place;
  }

  /** Gives the number of hosts that serve, this one included. */
  countServing(): number {
    const now = this.parts.clock.getNow();
    return this.heard.listServing(now).length + 1;
  }

  /** Lists where callers may be sent, this host last if it takes them. */
  listCallerAddresses(): string[] {
    const serving = this.heard.listServing(this.parts.clock.getNow());
    const addresses = serving.map((message) => message.place.callers);
    if (this.getState() === 'ready') addresses.push(this.parts.place.callers);
    return addresses;
  }

  /** Takes the place of a host that was told of elsewhere. */
  addUnheard(datagrams: string): void {
    if (datagrams === this.parts.place.datagrams) return;
    const isHeard = this.heard
      .listHeard(this.parts.clock.getNow())
      .some((message) => message.place.datagrams === datagrams);
    if (!isHeard) this.unheard.set(datagrams, MAX_TRIES);
  }

  /** Tells the other hosts of this one. */
  sendBeat(): void {
    const now = this.parts.clock.getNow();
    this.sequence++;
    const bytes = encodePeerMessage(this.createMessage(now));
    for (const place of this.listTargets(now)) this.socket.send(bytes, place);
    for (const name of this.heard.dropSilent(now)) {
      this.parts.log.writeInfo('A host was silent for long.', {host: name});
      this.applyUses(name, {});
    }
    this.dropUsesOfSilent(now);
    const heard = this.heard.listHeard(now);
    void this.loader.loadNewer(heard, now);
    const isSeedBeat = this.sequence % UNHEARD_EVERY === 1;
    if (heard.length === 0 && isSeedBeat) void this.loadFromSeed();
  }

  close(): void {
    this.socket.close();
    this.loader.close();
  }

  private listTargets(now: number): string[] {
    const heard = this.heard.listHeard(now);
    const known = this.heard.listKnown();
    const places = heard.map((message) => message.place.datagrams);
    const {random} = this.parts;
    const targets = getShuffled(places, random).slice(0, MAX_SENT_TO);
    if (this.sequence % UNHEARD_EVERY === 1) {
      for (const message of known) {
        if (!heard.includes(message)) targets.push(message.place.datagrams);
      }
    }
    targets.push(...this.takeUnheard());
    return targets;
  }

  /** Asks one seed for what it knows, and for its place. */
  private async loadFromSeed(): Promise<void> {
    const {seeds, random, place} = this.parts;
    const others = seeds.filter((seed) => seed !== place.tables);
    const [seed] = getShuffled(others, random);
    if (seed === undefined) return;
    const datagrams = await this.loader.loadFrom(seed);
    if (datagrams !== undefined) this.addUnheard(datagrams);
  }

  /** Gives the places to be tried now; each only so many times. */
  private takeUnheard(): string[] {
    const places: string[] = [];
    for (const [place, tries] of this.unheard) {
      places.push(place);
      if (tries <= 1) this.unheard.delete(place);
      else this.unheard.set(place, tries - 1);
    }
    return places;
  }

  private createMessage(now: number): PeerMessage {
    const {place, incarnation, tables, random} = this.parts;
    const named = this.heard
      .listHeard(now)
      .map((message) => message.place.datagrams);
    return {
      place,
      incarnation,
      sequence: this.sequence,
      state: this.getState(),
      revisions: {
        configuration: tables.configuration.replica.lastChange,
        endpoints: tables.endpoints.replica.lastChange,
      },
      uses: this.listOwnUses(),
      heard: getShuffled(named, random).slice(0, MAX_NAMED),
    };
  }

  private listOwnUses(): PeerMessage['uses'] {
    const uses: PeerMessage['uses'] = {};
    for (const record of this.parts.endpoints.listAll()) {
      const use = record.getOwnUse();
      if (use.running > 0 || use.expectedTokens > 0) {
        uses[record.instanceId] = use;
      }
    }
    return uses;
  }

  private handleDatagram(bytes: Buffer): void {
    const decoded = decodePeerMessage(bytes);
    if (decoded.isErr()) {
      this.parts.log.writeWarning('A datagram cannot be read.', {
        fault: decoded.error,
      });
      return;
    }
    const message = decoded.value;
    const {place} = message;
    if (place.name === this.parts.place.name) return;
    const now = this.parts.clock.getNow();
    const wasHeard = this.heard
      .listHeard(now)
      .some((other) => other.place.name === place.name);
    if (!this.heard.accept(place.name, message, now)) return;
    this.unheard.delete(place.datagrams);
    if (!wasHeard) {
      this.parts.log.writeInfo('A host is heard.', {
        host: place.name,
        state: message.state,
      });
    }
    this.applyUses(place.name, message.uses);
    for (const named of message.heard) this.addIfNew(named, now);
  }

  private addIfNew(datagrams: string, now: number): void {
    if (this.unheard.has(datagrams)) return;
    const known = this.heard.listKnown();
    if (known.some(({place}) => place.datagrams === datagrams)) return;
    if (now >= 0) this.addUnheard(datagrams);
  }

  private applyUses(host: string, uses: PeerMessage['uses']): void {
    for (const record of this.parts.endpoints.listAll()) {
      record.setOthersUse(host, uses[record.instanceId]);
    }
  }

  private dropUsesOfSilent(now: number): void {
    const heard = new Set(
      this.heard.listHeard(now).map(({place}) => place.name),
    );
    for (const {place} of this.heard.listKnown()) {
      if (!heard.has(place.name)) this.applyUses(place.name, {});
    }
  }
}

/** How often a place that was named is tried before it is dropped. */
const MAX_TRIES = 20;

/** The key of the service. */
export const PEERS = createServiceKey<Peers>('peers');

const SETTINGS = z.object({
  datagrams: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where this host takes datagrams of other hosts.',
  }),
  listen: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where this host answers other hosts.',
  }),
  callerAddress: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where callers reach this host.',
  }),
  seeds: z
    .string()
    .default('')
    .transform((text) => text.split(',').filter((part) => part !== ''))
    .meta({
      unit: 'ip:port,...',
      description: 'Where some other hosts answer hosts; may be old.',
    }),
  beatMs: z.coerce.number().int().min(50).default(300).meta({
    unit: 'ms',
    description: 'The time between two datagrams to the other hosts.',
  }),
});

/** Declares the service. */
export const PEERS_SERVICE = createService({
  key: PEERS,
  settings: SETTINGS,
  needs: [HOST_IDENTITY, TABLES_KEY, GATEWAY_ENDPOINTS],
  create(context, settings) {
    const {name, incarnation} = context.find(HOST_IDENTITY);
    const api = new Peers({
      place: {
        name,
        datagrams: settings.datagrams,
        tables: settings.listen,
        callers: settings.callerAddress,
      },
      incarnation,
      seeds: settings.seeds,
      tables: context.find(TABLES_KEY),
      endpoints: context.find(GATEWAY_ENDPOINTS),
      clock: context.clock,
      random: context.random,
      log: context.log,
    });
    new Gauge({
      name: 'irisdock_gateway_hosts_serving',
      help: 'Hosts that callers are sent to, this one included, a count.',
      registers: [context.metrics],
      collect() {
        this.set(api.countServing());
      },
    });
    let timer: NodeJS.Timeout | undefined;
    return {
      api,
      async start() {
        await api.start();
        api.sendBeat();
        timer = setInterval(() => {
          api.sendBeat();
        }, settings.beatMs);
      },
      stop() {
        clearInterval(timer);
        api.close();
        return Promise.resolve();
      },
    };
  },
});
