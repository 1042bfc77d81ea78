/**
 * The service `endpoints`: tracks the endpoints that this host uses, their
 * health and load, and the prompt prefixes that they probably have cached.
 */
import {
  Channel,
  createService,
  createServiceKey,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import {chooseSubset, PrefixIndex} from '@irisdock/decisions';
import {HttpEngine, HttpPlainEndpoint} from '@irisdock/endpoints';
import type {EndpointHint, LoadHint} from '@irisdock/peer';
import type {ListedHost} from '@irisdock/storage';
import {Counter, Gauge, type Registry} from 'prom-client';
import type {Stream} from 'most';
import {ENDPOINTS_SETTINGS} from '../endpoint/endpoints_settings.js';
import {EndpointPoller} from '../endpoint/endpoint_poller.js';
import {EndpointRecord} from '../endpoint/endpoint_record.js';
import {LoadSharer} from '../endpoint/load_sharer.js';
import {ServiceGaps} from '../endpoint/service_gaps.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {HOST} from './host.js';
import {HOST_LIST} from './host_list.js';
import {PEER_LINKS, type PeerLinks} from './peer_links.js';

interface DirectoryParts {
  readonly hostId: string;
  readonly configuration: Configuration;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly log: Logger;
  readonly subsetSize: number;
  readonly losses: Counter;
  readonly stalls: Counter;
}

/** Holds the records of the endpoints that this host uses. */
export class EndpointDirectory {
  readonly prefixes: PrefixIndex;
  /** Names of services whose endpoints may have free capacity now. */
  readonly capacityUpdates: Stream<string>;
  private readonly capacityChannel = new Channel<string>();
  private readonly records = new Map<string, EndpointRecord>();
  private readonly gaps = new Map<string, ServiceGaps>();
  private hostList: readonly ListedHost[] = [];

  constructor(
    private readonly parts: DirectoryParts,
    private readonly poller: EndpointPoller,
    maxBlocks: number,
  ) {
    this.prefixes = new PrefixIndex(maxBlocks);
    this.capacityUpdates = this.capacityChannel.stream;
  }

  /** Lists all endpoints in use. */
  listAll(): EndpointRecord[] {
    return [...this.records.values()];
  }

  /** Lists the endpoints of a service that may receive new requests. */
  listUsable(service: string): EndpointRecord[] {
    const usable: EndpointRecord[] = [];
    for (const record of this.records.values()) {
      if (record.service === service && !record.isLeaving) usable.push(record);
    }
    return usable;
  }

  /** Finds an endpoint by its address. */
  find(address: string): EndpointRecord | undefined {
    return this.records.get(address);
  }

  /**
   * Finds an endpoint by its address. An endpoint outside this host's subset is
   * opened for the response that runs there, and receives no new requests.
   */
  open(address: string, service: string): EndpointRecord | undefined {
    const known = this.records.get(address);
    if (known !== undefined) return known;
    const isListed = (host: ListedHost): boolean =>
      host.address === address && host.service === service;
    const listed = this.hostList.find(isListed);
    if (listed === undefined) return undefined;
    const record = this.createRecord(listed);
    if (record === undefined) return undefined;
    record.isLeaving = true;
    // `applyHostList` removes it once it is idle, as it is not in the subset.
    this.records.set(address, record);
    return record;
  }

  /** Applies the host list: adds, marks as leaving and removes endpoints. */
  applyHostList(list: readonly ListedHost[]): void {
    this.hostList = list;
    const chosen = this.chooseListedEndpoints();
    for (const host of chosen.values()) this.applyListedEndpoint(host);
    for (const record of this.records.values()) {
      if (!chosen.has(record.address)) this.remove(record);
    }
  }

  /** Applies the last host list again after services were added or removed. */
  applyConfiguration(): void {
    if (this.hostList.length > 0) this.applyHostList(this.hostList);
  }

  /** Handles an endpoint failure that a request detected. */
  reportLost(record: EndpointRecord, kind: string): void {
    if (!record.markLost()) return;
    this.publishLost(record, kind);
    this.poller.poll(record);
  }

  /** Handles a stream that stalled although its endpoint responds. */
  reportStall(record: EndpointRecord): void {
    record.markQuiet();
    const {address: endpoint, service} = record;
    this.parts.stalls.inc({service});
    this.parts.links.sendHint({endpoint, sign: 'quiet'});
  }

  /** Applies an endpoint hint from another host. */
  applyHint(hint: EndpointHint): void {
    const record = this.records.get(hint.endpoint);
    if (record === undefined) return;
    if (hint.sign === 'quiet') {
      record.markQuiet();
      return;
    }
    record.markSuspect();
    this.poller.poll(record);
  }

  /** Logs a lost endpoint and announces it to the other hosts. */
  publishLost(record: EndpointRecord, kind: string): void {
    const {address, service} = record;
    this.parts.losses.inc({service});
    this.parts.log.writeWarning('Marked an endpoint as lost.', {
      endpoint: address,
      kind,
    });
    this.prefixes.dropEndpoint(address);
    this.parts.links.sendHint({endpoint: address, sign: 'lost'});
  }

  /** Polls an endpoint immediately. */
  poll(address: string): void {
    const record = this.records.get(address);
    if (record !== undefined) this.poller.poll(record);
  }

  /** Applies a load report that another host received. */
  applyLoad(hint: LoadHint): void {
    const record = this.records.get(hint.endpoint);
    // A report via another host does not make an endpoint available here: this
    // host must reach it itself.
    if (record?.isAnswering === true) record.applyReport(hint);
  }

  /** Stops polling and closes all connections. */
  async close(): Promise<void> {
    for (const record of this.records.values()) {
      this.poller.remove(record);
      await record.close();
    }
  }

  private chooseListedEndpoints(): Map<string, ListedHost> {
    const byService = new Map<string, ListedHost[]>();
    for (const host of this.hostList) {
      if (host.role !== 'endpoint' || host.service === undefined) continue;
      const hosts = byService.get(host.service) ?? [];
      byService.set(host.service, hosts);
      hosts.push(host);
    }
    const {hostId, subsetSize} = this.parts;
    const chosen = new Map<string, ListedHost>();
    for (const hosts of byService.values()) {
      for (const host of chooseSubset(hostId, hosts, subsetSize)) {
        chosen.set(host.address, host);
      }
    }
    return chosen;
  }

  private applyListedEndpoint(host: ListedHost): void {
    const known = this.records.get(host.address);
    if (known !== undefined && known.service === host.service) {
      known.isLeaving = host.state === 'leaving';
      return;
    }
    const record = this.createRecord(host);
    if (record === undefined) return;
    record.isLeaving = host.state === 'leaving';
    this.records.set(host.address, record);
    this.poller.add(record);
  }

  private createRecord(host: ListedHost): EndpointRecord | undefined {
    const {configuration, clock} = this.parts;
    const {address, failureDomain} = host;
    const service = host.service ?? '';
    const spec = configuration.findSpec('service', service);
    if (spec === undefined) return undefined;
    const clients =
      spec.type === 'generation'
        ? {engine: new HttpEngine(address)}
        : {plain: new HttpPlainEndpoint(address)};
    return new EndpointRecord(
      address,
      service,
      failureDomain,
      clients,
      this.getGaps(service),
      clock,
      (name) => {
        this.capacityChannel.post(name);
      },
    );
  }

  private getGaps(service: string): ServiceGaps {
    const gaps = this.gaps.get(service) ?? new ServiceGaps();
    this.gaps.set(service, gaps);
    return gaps;
  }

  /** Stops new requests to an endpoint; removes it if it is idle. */
  private remove(record: EndpointRecord): void {
    record.isLeaving = true;
    this.poller.remove(record);
    if (!record.isIdle) return;
    this.records.delete(record.address);
    this.prefixes.dropEndpoint(record.address);
    void record.close();
  }
}

/** The key of the service. */
export const ENDPOINTS = createServiceKey<EndpointDirectory>('endpoints');

const LOAD_SHARE_MS = 1000;

/** Declares the service. */
export const ENDPOINTS_SERVICE = createService({
  key: ENDPOINTS,
  settings: ENDPOINTS_SETTINGS,
  needs: [CONFIGURATION, HOST, HOST_LIST, PEER_LINKS],
  create(context, settings) {
    const configuration = context.find(CONFIGURATION);
    const links = context.find(PEER_LINKS);
    const sharer = new LoadSharer(LOAD_SHARE_MS, context.clock, (loads) => {
      links.sendLoads(loads);
    });
    const poller = new EndpointPoller(settings, context.random, {
      applyEvents: (record, events) => {
        api.prefixes.applyEvents(record.address, events);
      },
      dropPrefixes: (record) => {
        api.prefixes.dropEndpoint(record.address);
      },
      sendReport: (record, report) => {
        sharer.add(record.address, report);
      },
      reportLost: (record) => {
        api.publishLost(record, 'no answer');
      },
    });
    const api: EndpointDirectory = new EndpointDirectory(
      {
        hostId: context.find(HOST).hostId,
        configuration,
        links,
        clock: context.clock,
        log: context.log,
        subsetSize: settings.subsetSize,
        stalls: new Counter({
          name: 'irisdock_endpoints_quiet_total',
          help: 'Stream stalls at responsive endpoints, a count, by service.',
          labelNames: ['service'],
          registers: [context.metrics],
        }),
        losses: new Counter({
          name: 'irisdock_endpoints_lost_total',
          help: 'Endpoint losses detected by this host, a count, by service.',
          labelNames: ['service'],
          registers: [context.metrics],
        }),
      },
      poller,
      settings.maxBlocks,
    );
    createGauge(api, context.metrics);
    return {
      api,
      start() {
        void context.find(HOST_LIST).lists.observe((list) => {
          api.applyHostList(list);
        });
        watchUpdates(api, configuration, links);
        return Promise.resolve();
      },
      stop() {
        sharer.stop();
        return api.close();
      },
    };
  },
});

function createGauge(directory: EndpointDirectory, registry: Registry): void {
  new Gauge({
    name: 'irisdock_endpoints_known',
    help: 'Endpoints in use, a count, by service and whether they respond.',
    labelNames: ['service', 'answering'],
    registers: [registry],
    collect() {
      this.reset();
      for (const record of directory.listAll()) {
        const {service, isAnswering} = record;
        this.inc({service, answering: String(isAnswering)});
      }
    },
  });
}

/** Subscribes to configuration changes and to reports from other hosts. */
function watchUpdates(
  directory: EndpointDirectory,
  configuration: Configuration,
  links: PeerLinks,
): void {
  void configuration.changes.observe(() => {
    directory.applyConfiguration();
  });
  void links.hints.observe((hint) => {
    directory.applyHint(hint);
  });
  void links.loads.observe((loads) => {
    for (const load of loads) directory.applyLoad(load);
  });
}
