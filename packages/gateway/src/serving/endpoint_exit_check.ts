/**
 * Checks whether an endpoint exited after a run on it was lost. A run is lost
 * when its endpoint exits, its connection is reset, a network link fails, or
 * its whole failure domain is lost. Only an address that refuses connections,
 * or at which another process answers, proves that the endpoint has exited.
 */
import {
  getSample,
  type Clock,
  type Logger,
  type Random,
} from '@irisdock/kernel';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import type {CrashRecords} from './crash_records.js';
import type {EndpointPaths} from './endpoint_paths.js';
import type {EndpointRecord} from './endpoint_record.js';
import {
  probeInstance,
  type InstanceProbeParts,
  type ProbeResult,
} from './instance_probe.js';

/** The result of an exit check. */
export type EndpointExitState =
  /** The endpoint answers; only the connection was lost. */
  | 'answers'
  /** The endpoint exited, and its failure domain did not. */
  | 'ended'
  /** The endpoint exited together with others of its failure domain. */
  | 'ended-with-domain'
  /** This host reaches no endpoint, so the fault is its own network's. */
  | 'partitioned'
  /** The endpoint neither answered nor refused a connection for long. */
  | 'unknown';

/** The delay before the first repetition of a probe, in ms; then it doubles. */
const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1600;
/**
 * How long probes of an exited endpoint are repeated, in ms. An endpoint that
 * stays silent for longer is frozen or cut off.
 */
export const MAX_CHECK_MS = 10_000;
/**
 * How many other endpoints of the failure domain are probed. When nine in ten
 * are lost at once, both have exited in four of five cases. An endpoint that
 * exits for its own reason has two such neighbors in one of a hundred cases.
 */
const PROBED_NEIGHBORS = 2;

/** Dependencies of the check. */
export interface EndpointExitCheckParts extends InstanceProbeParts {
  readonly endpoints: Pick<GatewayEndpoints, 'listAll' | 'listUsable'>;
  readonly paths: Pick<EndpointPaths, 'checkAny'>;
  readonly crashes: Pick<CrashRecords, 'hasCrashed' | 'hasSuspectCrashed'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** Checks whether endpoints exited; concurrent checks of one share a probe. */
export class EndpointExitCheck {
  private readonly pending = new Map<string, Promise<EndpointExitState>>();
  /** The neighbors that showed the loss of an endpoint's failure domain. */
  private readonly domainLosses = new WeakMap<
    EndpointRecord,
    readonly EndpointRecord[]
  >();
  private readonly closing = new AbortController();

  constructor(private readonly parts: EndpointExitCheckParts) {}

  /** Checks an endpoint on which a run was lost. */
  async check(endpoint: EndpointRecord): Promise<EndpointExitState> {
    const {instanceId} = endpoint;
    const pending = this.pending.get(instanceId);
    if (pending !== undefined) return pending;
    const check = this.checkOnce(endpoint).finally(() => {
      this.pending.delete(instanceId);
    });
    this.pending.set(instanceId, check);
    return check;
  }

  /**
   * Whether a result 'ended-with-domain' proved wrong: a neighbor that showed
   * the loss crashed under a content that has crashed others too.
   */
  isDomainLossRefuted(endpoint: EndpointRecord): boolean {
    const neighbors = this.domainLosses.get(endpoint) ?? [];
    return neighbors.some(({instanceId}) =>
      this.parts.crashes.hasSuspectCrashed(instanceId),
    );
  }

  /** Ends the pending checks; their results are unknown. */
  close(): void {
    this.closing.abort();
  }

  private async checkOnce(
    endpoint: EndpointRecord,
  ): Promise<EndpointExitState> {
    // Chosen now, as the entries of a lost domain are removed later.
    const neighbors = this.chooseNeighbors(endpoint);
    const state = await this.probeUntilKnown(endpoint);
    if (state !== 'ended') return state;
    const states = await Promise.all(
      neighbors.map((neighbor) => probeInstance(this.parts, neighbor)),
    );
    if (this.closing.signal.aborted) return 'unknown';
    const described = neighbors.map(({instanceId}, place) => {
      return `${instanceId} ${states[place] ?? ''}`;
    });
    this.parts.log.writeInfo('Probed the neighbors of an exited endpoint.', {
      endpoint: endpoint.instanceId,
      neighbors: described.join(', '),
    });
    const isAnyAnswering = states.includes('answers');
    if (!isAnyAnswering && (await this.isPartitioned(endpoint))) {
      return 'partitioned';
    }
    if (!this.isDomainLost(endpoint, neighbors, states)) return 'ended';
    this.domainLosses.set(endpoint, neighbors);
    return 'ended-with-domain';
  }

  /**
   * Whether no other endpoint can be reached either, of any service. Those that
   * crashed are not asked: nothing is known if no others are left.
   */
  private async isPartitioned(endpoint: EndpointRecord): Promise<boolean> {
    const {endpoints, crashes, paths} = this.parts;
    const others = [...endpoints.listAll()].filter((other) => {
      if (other === endpoint || !other.isReady) return false;
      return !crashes.hasCrashed(other.instanceId);
    });
    return others.length > 0 && !(await paths.checkAny(others));
  }

  /** Chooses other endpoints of the failure domain to probe. */
  private chooseNeighbors(endpoint: EndpointRecord): EndpointRecord[] {
    const {crashes, random} = this.parts;
    const others: EndpointRecord[] = [];
    for (const other of this.listNeighbors(endpoint)) {
      // It exited for its own reason, which says nothing about the domain.
      const isCrashed = crashes.hasCrashed(other.instanceId);
      if (!isCrashed && other.failureScore === 0) others.push(other);
    }
    return getSample(others, PROBED_NEIGHBORS, random);
  }

  /** Whether the neighbors show that their failure domain was lost. */
  private isDomainLost(
    endpoint: EndpointRecord,
    neighbors: readonly EndpointRecord[],
    states: readonly ProbeResult[],
  ): boolean {
    const {crashes} = this.parts;
    // A crash of a neighbor may have been reported since it was chosen.
    const counted = states.filter((_, place) => {
      const {instanceId = ''} = neighbors[place] ?? {};
      return !crashes.hasCrashed(instanceId);
    });
    const hasCrashed = [...neighbors, ...this.listNeighbors(endpoint)].some(
      ({instanceId}) => crashes.hasCrashed(instanceId),
    );
    // If other endpoints crashed, a single remaining one may have just crashed.
    const isTooFew = hasCrashed && counted.length < PROBED_NEIGHBORS;
    if (counted.length === 0 || isTooFew) return false;
    // A neighbor that is too busy to answer in time does not count as lost.
    return counted.every((state) => state === 'ended');
  }

  private listNeighbors(endpoint: EndpointRecord): EndpointRecord[] {
    const {endpoints} = this.parts;
    return endpoints.listUsable(endpoint.entry.service).filter((other) => {
      if (other === endpoint) return false;
      return other.failureDomain === endpoint.failureDomain;
    });
  }

  /**
   * Repeats the probe until the endpoint answers or refuses a connection. A
   * probe that times out proves nothing: this host may have been too busy to
   * read the answer.
   */
  private async probeUntilKnown(
    endpoint: EndpointRecord,
  ): Promise<ProbeResult> {
    const {closing} = this;
    const {clock} = this.parts;
    const deadline = clock.getNow() + MAX_CHECK_MS;
    let delayMs = FIRST_RETRY_DELAY_MS;
    for (;;) {
      const state = await probeInstance(this.parts, endpoint);
      // The instance that answers is the next one.
      if (endpoint.hasRestarted) return 'ended';
      const isOver = closing.signal.aborted || clock.getNow() >= deadline;
      if (state !== 'unknown' || isOver) return state;
      await clock.wait(delayMs, closing.signal);
      delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
    }
  }
}
