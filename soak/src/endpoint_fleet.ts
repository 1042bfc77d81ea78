/**
 * The endpoints of a play: stand-ins with their entries in the store, which
 * crash, fall silent, leave and come back as new instances.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {splitPlace} from '@irisdock/kernel';
import {
  CopyRegistry,
  createCallScript,
  createEntry,
  createStreamScript,
  ENTRY_STATES,
  getId,
  putEntry,
  ServerStandin,
  Silence,
  SOAK_SERVICES,
  type ScriptContext,
  type ServerRun,
  type StoreStandin,
  type StreamFault,
  type StreamShape,
} from '@irisdock/users-platform/fixtures';
import {TcpLink} from './tcp_link.js';

/** How the streams of the play go. */
export const STREAM_SHAPE: StreamShape = {events: 60, stepMs: 25};
/** How long a plain call works, in ms; long enough to be met by a fault. */
const WORK_MS = 120;
const SLOTS = 32;
/** How often the entry of one that leaves says how much time is left, in ms. */
const LEAVES_STEP_MS = 250;
/** Software versions that serve side by side. */
const VERSIONS = ['v1', 'v1.1'] as const;
/** The entry of an endpoint that crashed vanishes after so long, in ms. */
const ENTRY_LAPSES_MS = 1500;
/** An endpoint that ended under a run is back after so long, in ms. */
const BACK_MS = 1200;
/** An endpoint that leaves serves for so long after it said so, in ms. */
export const LEAVE_MS = 2000;
/** And so much longer: what comes then came too late. */
const LINGER_MS = 5000;

/**
 * Places of ordered endpoints, beyond those of all others. The failure domain of a
 * place is that of its remainder by their number.
 */
export const FIRST_ORDERED_PLACE = 300;

const LEAVING_LINE = 'Server-Leaving: 1';

/** One instance of an endpoint. */
export interface EndpointInstance {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Whether the platform may reclaim it. */
  readonly isSpot: boolean;
  /** The version of its software. */
  readonly version: string;
  readonly server: ServerStandin;
  readonly link: TcpLink;
  readonly address: string;
  /** When the store took that it leaves; undefined before. */
  leavingAt: number | undefined;
  /** Lines with the limit that it names; empty while it names none. */
  limitLines: readonly string[];
  /** Lines of its rejections while it rejects requests; undefined else. */
  rejectionLines: readonly string[] | undefined;
  /** While it is on, streams pause and probes are answered. */
  readonly streamPause: Silence;
  /** How new streams fail; the last one counts. */
  readonly streamFaults: StreamFault[];
  /** When it last went on to read after a silence; infinite in one. */
  deafUntil: number;
  /** When the last harm to it or its link ended; infinite while one lasts. */
  harmedUntil: number;
}

/** Takes it that a request reached an endpoint. */
export type ArrivalListener = (
  instance: EndpointInstance,
  attemptId: string,
) => void;

/** Takes what became of a run at an endpoint. */
export type RunListener = (instance: EndpointInstance, run: ServerRun) => void;

/** Receives what endpoints see of requests. */
export interface FleetListener {
  /** An endpoint began a run. */
  readonly handleRun: RunListener;
  /** A stream's run has ended, or was closed. */
  readonly handleRunEnd?: RunListener;
  /** An endpoint ends as it announced. */
  readonly handleAnnouncedEnd?: (instance: EndpointInstance) => void;
  /** A new stream failed without an event. */
  readonly handleFailedRun?: RunListener;
  readonly handleArrival: ArrivalListener;
  /** An endpoint answers with the lines that it adds, over a link in order. */
  readonly handleAnswer?: ArrivalListener;
}

/** How the endpoints of streams serve. */
export interface FleetOptions {
  readonly shape: StreamShape;
  readonly slots: number;
}

/** How they serve in plays that are not scaled. */
export const USUAL_FLEET: FleetOptions = {shape: STREAM_SHAPE, slots: SLOTS};

/** What the scripts of endpoints call. */
type RunHooks = Pick<
  ScriptContext,
  'recordAnswer' | 'recordFailedRun' | 'recordRun' | 'recordRunEnd'
>;

/** The endpoints. */
export class EndpointFleet {
  private readonly instances = new Map<number, EndpointInstance>();
  private readonly ended: EndpointInstance[] = [];
  /** What was written of each; undefined for what was taken out. */
  private readonly entries = new Map<
    string,
    Readonly<Record<string, unknown>> | undefined
  >();
  private readonly copies = new CopyRegistry();
  /** The versions of the places that were released, by place. */
  private readonly releases = new Map<number, string>();
  /** Places to which nothing comes back. */
  private readonly removed = new Set<number>();
  private count = 0;
  private isStopped = false;

  constructor(
    private readonly store: StoreStandin,
    private readonly failureDomains: readonly string[],
    private readonly listener: FleetListener,
    private readonly options: FleetOptions = USUAL_FLEET,
  ) {}

  /** Adds an endpoint of a service in the failure domain of a place. */
  async add(service: string, place: number, isSpot = false): Promise<void> {
    const failureDomain =
      this.failureDomains[place % this.failureDomains.length] ?? '';
    this.count++;
    const id = `i-${this.count}`;
    const version = this.chooseVersion(place);
    let target = {host: '127.0.0.1', port: 0};
    const link = new TcpLink(() => target);
    const address = await link.start();
    const streamPause = new Silence(new Set());
    const parts = {
      getAddress: () => address,
      copies: this.copies,
      version,
      name: id,
      listLines: () => listLines(instance),
      findRejection: () => instance.rejectionLines,
      findStreamFault: () => instance.streamFaults.at(-1),
      waitUntilAudible: async () => {
        await streamPause.waitUntilOver();
        await server.silence.waitUntilOver();
      },
      ...this.createRunHooks(() => instance),
    };
    const server: ServerStandin = new ServerStandin(
      service === SOAK_SERVICES.streams
        ? createStreamScript(parts, this.options.shape)
        : createCallScript(parts, WORK_MS),
    );
    target = splitPlace(await server.start());
    const instance: EndpointInstance = {
      id,
      service,
      failureDomain,
      isSpot,
      version,
      server,
      link,
      address,
      leavingAt: undefined,
      limitLines: [],
      rejectionLines: undefined,
      streamPause,
      streamFaults: [],
      deafUntil: -Infinity,
      harmedUntil: -Infinity,
    };
    server.handleSeen = (request) => {
      this.listener.handleArrival(instance, getId(request));
    };
    // What came now would never end.
    if (this.isStopped || this.removed.has(place)) {
      this.end(instance);
      return;
    }
    this.instances.set(place, instance);
    this.putEntry(instance, 'ready');
  }

  /** Gives the instance at a place. */
  find(place: number): EndpointInstance | undefined {
    return this.instances.get(place);
  }

  /** Lists the instances of a service. */
  list(service: string): EndpointInstance[] {
    const instances = [...this.instances.values()];
    return instances.filter((one) => one.service === service);
  }

  /** Lists the places with instances. */
  listPlaces(): number[] {
    return [...this.instances.keys()];
  }

  /** Ends an instance under a run; another one comes after a while. */
  async killUnderRun(instance: EndpointInstance): Promise<void> {
    for (const [place, one] of this.instances) {
      if (one === instance) await this.kill(place, BACK_MS);
    }
  }

  /** Ends an instance as a crash does; another one comes after a while. */
  async kill(place: number, downMs: number): Promise<void> {
    const instance = this.takeOut(place);
    if (instance === undefined) return;
    this.end(instance);
    const lapse = setTimeout(() => {
      this.writeEntry(instance.id, undefined);
    }, ENTRY_LAPSES_MS);
    await sleep(downMs);
    clearTimeout(lapse);
    // The play may have ended meanwhile; what came now would never end.
    if (this.isStopped) return;
    this.writeEntry(instance.id, undefined);
    if (this.removed.has(place)) return;
    await this.add(instance.service, place, instance.isSpot);
  }

  /** Replaces the instances at some places by others of a version. */
  async release(
    places: readonly number[],
    version: string,
    servesMs: number,
  ): Promise<void> {
    for (const place of places) this.releases.set(place, version);
    await Promise.all(places.map((place) => this.drain(place, servesMs)));
  }

  /**
   * Replaces an instance: the new one comes first, the old one leaves.
   *
   * @param servesMs How long the old one serves once it has said so, in ms.
   */
  async drain(place: number, servesMs = LEAVE_MS + LINGER_MS): Promise<void> {
    const old = this.takeOut(place);
    if (old === undefined) return;
    await this.add(old.service, place, old.isSpot);
    this.putEntry(old, 'leaving');
    old.leavingAt = performance.now();
    await sleep(servesMs);
    this.writeEntry(old.id, undefined);
    this.end(old);
  }

  /**
   * Lets the instance at a place leave as the platform announces it; nothing
   * comes back there. The entries of spot instances name the time that is left.
   */
  async removeAnnounced(place: number, noticeMs: number): Promise<void> {
    this.removed.add(place);
    const instance = this.takeOut(place);
    if (instance === undefined) return;
    instance.leavingAt = performance.now();
    const endsAt = instance.leavingAt + noticeMs;
    let leavesMs = noticeMs;
    while (leavesMs > 0) {
      const left = instance.isSpot ? {leaves_ms: leavesMs} : {};
      this.putEntry(instance, 'leaving', left);
      await sleep(Math.min(leavesMs, LEAVES_STEP_MS));
      leavesMs = Math.round(endsAt - performance.now());
    }
    this.listener.handleAnnouncedEnd?.(instance);
    this.writeEntry(instance.id, undefined);
    this.end(instance);
  }

  /** Writes the entries again, as after a restore of the store. */
  putEntriesAgain(): void {
    for (const [id, entry] of this.entries) putEntry(this.store, id, entry);
  }

  stop(): void {
    this.isStopped = true;
    for (const instance of [...this.instances.values(), ...this.ended]) {
      this.end(instance);
    }
  }

  private createRunHooks(getInstance: () => EndpointInstance): RunHooks {
    const {listener} = this;
    return {
      recordAnswer: (attemptId: string) => {
        const instance = getInstance();
        if (instance.harmedUntil > performance.now()) return;
        listener.handleAnswer?.(instance, attemptId);
      },
      recordRun: (run: ServerRun) => {
        listener.handleRun(getInstance(), run);
      },
      recordRunEnd: (run: ServerRun) => {
        listener.handleRunEnd?.(getInstance(), run);
      },
      recordFailedRun: (run: ServerRun) => {
        listener.handleFailedRun?.(getInstance(), run);
      },
    };
  }

  private takeOut(place: number): EndpointInstance | undefined {
    const instance = this.instances.get(place);
    if (instance === undefined) return undefined;
    this.instances.delete(place);
    this.ended.push(instance);
    return instance;
  }

  /** Ends an instance; what it still runs is broken off. */
  private end(instance: EndpointInstance): void {
    instance.harmedUntil = performance.now();
    instance.server.stop();
    instance.link.stop();
  }

  private putEntry(
    instance: EndpointInstance,
    state: keyof typeof ENTRY_STATES,
    more: Readonly<Record<string, unknown>> = {},
  ): void {
    const {id, service, address, failureDomain, isSpot, version} = instance;
    const entry = createEntry(
      service,
      address,
      failureDomain,
      ENTRY_STATES[state],
      this.options.slots,
    );
    const kind = isSpot ? {spot: true} : {};
    this.writeEntry(id, {...entry, version, ...kind, ...more});
  }

  /** Each version has an endpoint in each failure domain. */
  private chooseVersion(place: number): string {
    const released = this.releases.get(place);
    if (released !== undefined) return released;
    const round = Math.floor(place / this.failureDomains.length);
    return VERSIONS[round % VERSIONS.length] ?? '';
  }

  private writeEntry(
    id: string,
    entry: Readonly<Record<string, unknown>> | undefined,
  ): void {
    this.entries.set(id, entry);
    putEntry(this.store, id, entry);
  }
}

function listLines({limitLines, leavingAt}: EndpointInstance): string[] {
  if (leavingAt === undefined) return [...limitLines];
  return [...limitLines, LEAVING_LINE];
}
