/**
 * Detects that this host is partitioned from the endpoints of a service. A
 * request that gets no response may show that one endpoint failed, or that the
 * host's own network did. So connections to other endpoints of the service are
 * opened, and if none opens, the host counts as partitioned until one does.
 */
import {getShuffled, RunningTimer, splitPlace} from '@irisdock/kernel';
import type {Clock, Logger, Random} from '@irisdock/kernel';
import {Gauge, type Registry} from 'prom-client';
import type {ConnectionObserver} from '../channels/endpoint_client.js';
import type {EndpointNetwork} from '../channels/endpoint_network.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {SendTarget} from './send_gate.js';

/** How long a connection may take to open, in ms; usually a few. */
const CONNECT_TIMEOUT_MS = 150;
/**
 * How many endpoints are probed at the same time, by round. When seven of ten
 * are lost, all rounds together fail in 1 of 70 checks.
 */
const ROUND_SIZES = [2, 4, 6];
/** The least time between two checks of a service that can be reached, in ms. */
const MIN_CHECK_INTERVAL_MS = 200;
/** The interval between probes while the host is partitioned, in ms. */
const RECOVERY_PROBE_MS = 250;
/** The random part that is added to the interval, in ms. */
const RECOVERY_SPREAD_MS = 100;
/** How many endpoints are probed at the same time during a partition. */
const RECOVERY_PROBES = 2;

/** Dependencies of the paths. */
export interface EndpointPathsParts {
  readonly network: EndpointNetwork;
  readonly endpoints: Pick<GatewayEndpoints, 'find' | 'listUsable'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Registry;
}

/** The path to the endpoints of one service. */
interface ServicePath {
  isPartitioned: boolean;
  /** When a connection last opened, in ms. */
  connectedAt: number;
  /** When a check last found that the service can be reached, in ms. */
  checkedAt: number;
  /** The check in progress. */
  checking: Promise<boolean> | undefined;
}

/** Tells which services this host is partitioned from. */
export class EndpointPaths implements ConnectionObserver {
  private readonly paths = new Map<string, ServicePath>();
  private readonly closing = new AbortController();

  constructor(private readonly parts: EndpointPathsParts) {
    const {paths} = this;
    new Gauge({
      name: 'irisdock_gateway_partitioned_services',
      help: 'Services none of whose endpoints this host can reach, a count.',
      registers: [parts.metrics],
      collect() {
        const all = [...paths.values()];
        this.set(all.filter(({isPartitioned}) => isPartitioned).length);
      },
    });
  }

  /** Whether this host is known to be partitioned from a service. */
  isPartitioned(service: string): boolean {
    return this.paths.get(service)?.isPartitioned ?? false;
  }

  recordConnected({instanceId}: SendTarget): void {
    const service = this.parts.endpoints.find(instanceId)?.entry.service;
    if (service !== undefined) this.markConnected(service);
  }

  recordFailure({instanceId}: SendTarget): void {
    const service = this.parts.endpoints.find(instanceId)?.entry.service;
    if (service !== undefined) void this.check(service);
  }

  /** Checks whether this host is partitioned from a service. */
  async check(service: string): Promise<boolean> {
    const path = this.getPath(service);
    if (path.isPartitioned) return true;
    const checkedMs = this.parts.clock.getNow() - path.checkedAt;
    if (checkedMs < MIN_CHECK_INTERVAL_MS) return false;
    path.checking ??= this.checkOnce(service, path).finally(() => {
      path.checking = undefined;
    });
    return path.checking;
  }

  /** Probes a few of these endpoints; tells whether a connection opened. */
  async checkAny(endpoints: readonly EndpointRecord[]): Promise<boolean> {
    const sorted = this.sortByDomain(endpoints);
    let probed = 0;
    for (const size of ROUND_SIZES) {
      const round = sorted.slice(probed, probed + size);
      if (round.length === 0 || this.closing.signal.aborted) return false;
      if (await this.probeAny(round)) return true;
      probed += size;
    }
    return false;
  }

  /** Ends the probes. */
  close(): void {
    this.closing.abort();
  }

  private getPath(service: string): ServicePath {
    const known = this.paths.get(service);
    if (known !== undefined) return known;
    const path = {
      isPartitioned: false,
      connectedAt: -Infinity,
      checkedAt: -Infinity,
      checking: undefined,
    };
    this.paths.set(service, path);
    return path;
  }

  private markConnected(service: string): void {
    const path = this.getPath(service);
    path.connectedAt = this.parts.clock.getNow();
    if (!path.isPartitioned) return;
    path.isPartitioned = false;
    const sentence = 'The endpoints of a service can be reached again.';
    this.parts.log.writeInfo(sentence, {service});
  }

  private async checkOnce(
    service: string,
    path: ServicePath,
  ): Promise<boolean> {
    const {clock, log, endpoints} = this.parts;
    const startedAt = clock.getNow();
    const usable = endpoints.listUsable(service);
    // Without endpoints there is no network fault to find.
    if (usable.length === 0) return false;
    if (await this.checkAny(usable)) this.markConnected(service);
    // Also a connection of a request may have opened meanwhile.
    if (path.connectedAt >= startedAt) {
      path.checkedAt = startedAt;
      return false;
    }
    if (this.closing.signal.aborted) return false;
    path.isPartitioned = true;
    log.writeWarning('No endpoint of a service can be reached.', {
      service,
      endpoints: usable.length,
      ms: Math.round(clock.getNow() - startedAt),
    });
    void this.waitRecovered(service, path);
    return true;
  }

  /** Probes until a connection opens. */
  private async waitRecovered(
    service: string,
    path: ServicePath,
  ): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.closing;
    while (path.isPartitioned && !signal.aborted) {
      const spreadMs = random.getInt(RECOVERY_SPREAD_MS);
      await clock.wait(RECOVERY_PROBE_MS + spreadMs, signal);
      const usable = this.parts.endpoints.listUsable(service);
      const probed = this.sortByDomain(usable).slice(0, RECOVERY_PROBES);
      if (await this.probeAny(probed)) this.markConnected(service);
    }
  }

  /** Shuffles endpoints and puts one of each failure domain first. */
  private sortByDomain(endpoints: readonly EndpointRecord[]): EndpointRecord[] {
    const counts = new Map<string, number>();
    const places = new Map<EndpointRecord, number>();
    for (const one of getShuffled(endpoints, this.parts.random)) {
      const place = counts.get(one.failureDomain) ?? 0;
      counts.set(one.failureDomain, place + 1);
      places.set(one, place);
    }
    const sorted = [...places].sort(([, a], [, b]) => a - b);
    return sorted.map(([endpoint]) => endpoint);
  }

  /** Resolves as soon as one connection opens, or when all have failed. */
  private async probeAny(
    endpoints: readonly EndpointRecord[],
  ): Promise<boolean> {
    if (endpoints.length === 0) return false;
    return new Promise((resolve) => {
      let left = endpoints.length;
      for (const {address} of endpoints) {
        void this.probe(address).then((isOpen) => {
          left--;
          if (isOpen || left === 0) resolve(isOpen);
        });
      }
    });
  }

  private async probe(address: string): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = this.parts.network.open(splitPlace(address));
      const finish = (isOpen: boolean): void => {
        timer.close();
        socket.destroy();
        resolve(isOpen);
      };
      const {clock} = this.parts;
      const timer = new RunningTimer(clock, CONNECT_TIMEOUT_MS, () => {
        finish(false);
      });
      socket.once('connect', () => {
        finish(true);
      });
      socket.on('error', () => {
        finish(false);
      });
    });
  }
}
