/**
 * Reports of the load of scaled services. Each host that serves sends its own to
 * the hosts that may hold the task `scaling`, so that a new holder knows the
 * load at once. Without the task, nothing is sent.
 */
import {DemandTracker} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {DemandDatagram, ReportedDemand} from '../model/demand_datagram.js';
import type {TaskRegistry} from '../model/singleton_task.js';
import type {DemandMeter} from '../serving/demand_meter.js';
import type {GatewayConfiguration} from './configuration.js';
import type {GatewayEndpoints} from './gateway_endpoints.js';
import type {HostIdentity} from './identity.js';
import type {Peers} from './peer_hosts.js';

/**
 * The time between two reports of a host, in ms, and the least time for each
 * host: a receiver gets at most some 170 reports of about 70 bytes per second
 * with any number of hosts.
 */
const REPORT_INTERVAL_MS = 1000;
const REPORT_INTERVAL_MS_PER_HOST = 6;
/** The most services in a datagram; one takes some 60 bytes. */
const MAX_PER_DATAGRAM = 16;
/** The share of the serving hosts without whose reports the load is uncertain. */
const MIN_HOST_SHARE = 0.7;

/** Dependencies of the reports. */
export interface DemandReportsParts {
  readonly identity: Pick<HostIdentity, 'name' | 'incarnation'>;
  readonly tasks: Pick<TaskRegistry, 'isEnabled' | 'listCandidates'>;
  readonly meter: DemandMeter;
  readonly configuration: Pick<GatewayConfiguration, 'listScaledServices'>;
  readonly endpoints: Pick<GatewayEndpoints, 'listAll'>;
  readonly peers: Pick<Peers, 'countServing' | 'sendToNames'>;
  readonly clock: Clock;
}

/** Sends and collects the reports. */
export class DemandReports {
  private readonly trackers = new Map<string, DemandTracker>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: DemandReportsParts) {}

  /** Starts to report, if the task is enabled. */
  start(): void {
    if (!this.parts.tasks.isEnabled('scaling')) return;
    const hosts = this.parts.peers.countServing();
    const delayMs = Math.max(
      REPORT_INTERVAL_MS,
      REPORT_INTERVAL_MS_PER_HOST * hosts,
    );
    this.timer = setTimeout(() => {
      this.sendReports();
      this.start();
    }, delayMs);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  /** Takes the report of a host. */
  accept({name, incarnation, services}: DemandDatagram): void {
    const now = this.parts.clock.getNow();
    const scaled = new Set(this.listNames());
    for (const {service, ...demand} of services) {
      if (!scaled.has(service)) continue;
      this.getTracker(service).record(name, incarnation, demand, now);
    }
  }

  /** Returns what is known of the load of a service. */
  getTracker(service: string): DemandTracker {
    let tracker = this.trackers.get(service);
    if (tracker === undefined) {
      tracker = new DemandTracker();
      this.trackers.set(service, tracker);
    }
    return tracker;
  }

  /** Whether nearly all serving hosts report the load of a service. */
  isComplete(service: string): boolean {
    const {clock, peers} = this.parts;
    const reporting = this.getTracker(service).countHosts(clock.getNow());
    return reporting >= peers.countServing() * MIN_HOST_SHARE;
  }

  /** Sends this host's load to the candidates; itself may be one of them. */
  sendReports(): void {
    const {identity, tasks, peers} = this.parts;
    const {name, incarnation} = identity;
    const demands = this.listDemands();
    const candidates = tasks.listCandidates('scaling');
    for (let from = 0; from < demands.length; from += MAX_PER_DATAGRAM) {
      const services = demands.slice(from, from + MAX_PER_DATAGRAM);
      const datagram = {kind: 'demand', name, incarnation, services} as const;
      const others = candidates.filter((candidate) => candidate !== name);
      peers.sendToNames(others, datagram);
      if (others.length < candidates.length) this.accept(datagram);
    }
  }

  private listNames(): string[] {
    const services = this.parts.configuration.listScaledServices();
    return services.map(({name}) => name);
  }

  private listDemands(): ReportedDemand[] {
    const names = this.listNames();
    const expected = new Map(names.map((name) => [name, 0]));
    for (const record of this.parts.endpoints.listAll()) {
      const {service} = record.entry;
      const sum = expected.get(service);
      if (sum === undefined) continue;
      expected.set(service, sum + record.getOwnUse().expectedTokens);
    }
    return names.map((service) => ({
      service,
      ...this.parts.meter.findDemand(service),
      expectedTokens: expected.get(service) ?? 0,
    }));
  }
}
