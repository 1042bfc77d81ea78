/**
 * Changes the configuration again and again, and asks each host whether it
 * has it in force. Each version adds a route that stays, so a host that knew it
 * and denies it went back; and takes a route and a key away, which a host that
 * has the version knows no more.
 */
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitPlace} from '@irisdock/kernel';
import {
  createProbeHeaders,
  createSoakConfiguration,
  formatTemporaryRoute,
  formatSoakKey,
  HOST_NAME,
  putConfiguration,
  SOAK_TEMPORARY_VERSIONS,
  SOAK_KEYED_PATH,
  type SoakScaling,
  type StoreStandin,
} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';
import type {HostProcess} from './host_process.js';
import type {Witness} from './witness.js';

/** After so long a change is in force on hosts that are in touch, in ms. */
const APPLY_MS = 2000;
const CONTACT_MS = 3000;
const ASK_MS = 250;
/** Rounds of questions from one change to the next. */
const ROUNDS_A_CHANGE = 4;
const ANSWER_MS = 1500;
/** The host has no such route. */
const NO_ROUTE_STATUS = 404;
/** The host has the route, and misses the request id that was left out. */
const KNOWN_STATUS = 400;

/** What one host was seen to know, in one life of its process. */
interface KnownVersion {
  readonly life: number;
  version: number;
}

/** When a version was put into the store. */
interface Change {
  readonly version: number;
  readonly at: number;
}

/** The witness of the configuration. */
export class ConfigurationWitness {
  private readonly changes: Change[] = [];
  private readonly known = new Map<string, KnownVersion>();
  private isStopped = false;
  /** How late changes were seen on hosts that were left alone, in ms. */
  readonly delaysMs: number[] = [];

  constructor(
    private readonly store: StoreStandin,
    private readonly hosts: readonly HostProcess[],
    private readonly disturbances: Disturbances,
    private readonly witness: Witness,
    private readonly scaling?: SoakScaling,
  ) {}

  /** The newest version; 0 before the first. */
  get version(): number {
    return this.changes.length;
  }

  /** Puts the next version into the store. */
  commitNext(): void {
    const version = this.version + 1;
    this.changes.push({version, at: performance.now()});
    this.putVersion(version);
  }

  /** Puts the newest version again, as after a restore of the store. */
  commitAgain(): void {
    this.putVersion(this.version);
  }

  /** Changes the configuration and asks all hosts until it is stopped. */
  async run(): Promise<void> {
    for (let round = 1; !this.isStopped; round++) {
      if (round % ROUNDS_A_CHANGE === 0) this.commitNext();
      await Promise.all(this.hosts.map((host) => this.checkHost(host)));
      await sleep(ASK_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private putVersion(version: number): void {
    const {store, scaling} = this;
    putConfiguration(store, createSoakConfiguration(version, scaling));
  }

  /** Asks for the newest version, and for the newest that is due. */
  private async checkHost(host: HostProcess): Promise<void> {
    const now = performance.now();
    const newest = this.changes.at(-1);
    const due = this.changes.findLast(({at}) => now >= at + APPLY_MS);
    if (newest !== undefined) await this.checkVersion(host, newest, false);
    if (due === undefined) return;
    await this.checkVersion(host, due, true);
    const old = due.version - SOAK_TEMPORARY_VERSIONS;
    const brief = {path: `/${formatTemporaryRoute(old)}/`};
    await this.checkGone(host, due, brief);
    const keyed = {path: SOAK_KEYED_PATH, key: formatSoakKey(old)};
    await this.checkGone(host, due, keyed);
  }

  /** Checks that what a version took away is gone. */
  private async checkGone(
    host: HostProcess,
    {version, at}: Change,
    probe: Probe,
  ): Promise<void> {
    const {life, name} = host;
    const status = await probeStatus(host.frontAddress, probe);
    if (status !== KNOWN_STATUS || host.life !== life) return;
    const what = `${probe.path} ${probe.key ?? ''}`;
    if (this.findKnown(name, life).version >= version) {
      this.witness.addFault(`${name} went back before ${version}: ${what}`);
    } else if (this.isInTouch(name, at)) {
      this.witness.addFault(`${name} keeps what ${version} took: ${what}`);
    }
  }

  private async checkVersion(
    host: HostProcess,
    {version, at}: Change,
    isDue: boolean,
  ): Promise<void> {
    const {life, name} = host;
    const probe = {path: `/version-${version}/`};
    const status = await probeStatus(host.frontAddress, probe);
    if (status === undefined || host.life !== life) return;
    const known = this.findKnown(name, life);
    if (status === KNOWN_STATUS) {
      if (known.version < version) this.recordDelay(name, at);
      known.version = Math.max(known.version, version);
      return;
    }
    // Any other refusal says nothing of the route.
    if (status !== NO_ROUTE_STATUS) return;
    if (known.version >= version) {
      this.witness.addFault(`${name} went back before ${version}`);
    } else if (isDue && this.isInTouch(name, at)) {
      this.witness.addFault(`${name} does not have ${version} in force`);
    }
  }

  private recordDelay(host: string, changedAt: number): void {
    if (!this.isInTouch(host, changedAt)) return;
    this.delaysMs.push(performance.now() - changedAt);
  }

  /** Tells whether nothing befell a host since before a change. */
  private isInTouch(host: string, changedAt: number): boolean {
    const from = changedAt - CONTACT_MS;
    const now = performance.now();
    return this.disturbances.listBetween(host, from, now).length === 0;
  }

  private findKnown(host: string, life: number): KnownVersion {
    const known = this.known.get(host);
    if (known?.life === life) return known;
    const fresh = {life, version: 0};
    this.known.set(host, fresh);
    return fresh;
  }
}

/** What is asked for. */
interface Probe {
  readonly path: string;
  readonly key?: string;
}

/** Asks without a request id, so that nothing runs; undefined when there is no answer in time. */
async function probeStatus(
  place: string,
  {path, key = ''}: Probe,
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const message = request({
      ...splitPlace(place),
      path,
      agent: false,
      headers: createProbeHeaders(HOST_NAME, key),
      signal: AbortSignal.timeout(ANSWER_MS),
    });
    message.on('error', () => {
      resolve(undefined);
    });
    message.on('response', (answer) => {
      answer.resume();
      resolve(answer.statusCode);
    });
    message.end();
  });
}
