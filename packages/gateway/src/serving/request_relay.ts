/**
 * Relays requests to other hosts while this one is partitioned from the
 * endpoints of a service. The other host serves a relayed request as if its
 * caller had sent it there: with its own choice of endpoints, limits and
 * retries. It never relays it further.
 */
import {
  computeHostWeights,
  getSizedSample,
  hasUnequalWeights,
  type EventId,
  type HostCapacity,
} from '@irisdock/decisions';
import type {Clock, Random} from '@irisdock/kernel';
import {
  EndpointClient,
  type AnswerBounds,
} from '../channels/endpoint_client.js';
import {findHeader} from '../channels/header_lines.js';
import type {HeaderCodec, HeaderLines} from '../model/request_metadata.js';
import {formatRelayPath} from '../model/relay_path.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {Peers} from '../services/peer_hosts.js';
import type {AdmittedRequest} from './caller_exchange.js';
import {EndpointRecord} from './endpoint_record.js';
import {RELAY_HEADER} from './host_headers.js';
import {RelayHostProber} from './relay_host_prober.js';
import {SendPermit, type SendGate} from './send_gate.js';
import {computeRemainingMs} from './send_rules.js';
import type {AttemptSend} from './stream_attempt.js';

const DECLINED = 'declined';
/** The header line that a host adds to such a refusal. */
export const DECLINED_LINE = [RELAY_HEADER, DECLINED] as const;

/** How many hosts are tried for one request; a refusal takes a few ms. */
export const MAX_RELAY_HOSTS = 8;
/**
 * After so many tries, hosts of other regions come first: all hosts of the own
 * region may be cut off from the endpoints.
 */
const MAX_NEAR_TRIES = 4;
/** The statuses of requests whose route or key a host does not know. */
const UNKNOWN_STATUSES: ReadonlySet<number> = new Set([401, 404]);
/** How long a host that declined or did not accept is not tried, in ms. */
const UNABLE_MS = 1500;
/** How long a host that took a request is preferred to unknown ones, in ms. */
const ABLE_MS = 3000;
/** Of so many hosts the one with the fewest relayed requests is chosen. */
const CHOICES = 2;

/** Another host that serves callers. */
export interface RelayHost {
  readonly name: string;
  /** Where it accepts relayed requests, as `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly capacity?: HostCapacity | undefined;
}

/** Whether a host took the last request, and when that was known. */
interface HostResult {
  readonly isAble: boolean;
  readonly at: number;
}

/** Dependencies of the relay. */
export interface RequestRelayParts {
  readonly codec: HeaderCodec;
  readonly peers: Pick<Peers, 'listRelayHosts' | 'name'> &
    Partial<Pick<Peers, 'position'>>;
  /** The tag of the deployment. */
  readonly deployment: string;
  readonly clock: Clock;
  readonly random: Random;
  /** What answers may cost; the relay has its own memory by default. */
  readonly answers?: AnswerBounds;
}

/** Where a begun stream resumes. */
export interface StreamResumption {
  /** The last event that the caller has. */
  readonly lastEventId: EventId;
  /** The caller's attempt that brought the first event, if it is known. */
  readonly requestId: string | undefined;
}

/** A request to be relayed. */
export interface RelayedRequest {
  readonly request: AdmittedRequest;
  readonly route: ServingRoute;
  readonly service: string;
  /** How many runs of the request are still allowed. */
  readonly maxRuns: number;
  /** Where a begun stream resumes; undefined if the caller has no event. */
  readonly resumption: StreamResumption | undefined;
}

/** Hosts have no limits and make no announcements to each other. */
const OPEN_GATE: SendGate = {
  admit: (target) => new SendPermit(target),
  takeUnconfirmed: () => undefined,
  recordAnswer: () => undefined,
  decideReturnMs: () => 0,
};

/** Relays requests to other hosts. */
export class RequestRelay {
  /** Sends to other hosts. */
  readonly client: EndpointClient;
  /** Probes whether another host answers. */
  readonly prober: RelayHostProber;
  /** The last result of a host for a service, by both names. */
  private readonly results = new Map<string, HostResult>();
  /** Relayed requests in flight, by host. */
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly parts: RequestRelayParts) {
    const {codec, clock, answers} = parts;
    this.client = new EndpointClient(
      codec,
      OPEN_GATE,
      clock,
      undefined,
      undefined,
      answers,
    );
    this.prober = new RelayHostProber(this.client, codec.reportPath, clock);
  }

  /**
   * Chooses a host that has not been tried; undefined if there is none. Hosts of
   * this host's region are tried first.
   */
  choose(service: string, tried: ReadonlySet<string>): RelayHost | undefined {
    const {peers} = this.parts;
    const hosts = peers.listRelayHosts();
    const split = peers.position?.splitByRegion(hosts);
    const {near, far} = split ?? {near: hosts, far: []};
    const isFarFirst = tried.size >= MAX_NEAR_TRIES;
    const [first, second] = isFarFirst ? [far, near] : [near, far];
    return (
      this.chooseAmong(first, service, tried) ??
      this.chooseAmong(second, service, tried)
    );
  }

  /** When most hosts are partitioned, those that took a request save tries. */
  private chooseAmong(
    hosts: readonly RelayHost[],
    service: string,
    tried: ReadonlySet<string>,
  ): RelayHost | undefined {
    const able: RelayHost[] = [];
    const unknown: RelayHost[] = [];
    for (const host of hosts) {
      if (tried.has(host.name)) continue;
      const isAble = this.findAbility(host, service);
      if (isAble === true) able.push(host);
      if (isAble === undefined) unknown.push(host);
    }
    const {random} = this.parts;
    const preferred = getSizedSample(able, able, CHOICES, random);
    const left = CHOICES - preferred.length;
    const others = getSizedSample(unknown, unknown, left, random);
    return this.findLeastBusy([...preferred, ...others]);
  }

  /** Creates the request to a host. */
  createSend(host: RelayHost, relayed: RelayedRequest): AttemptSend {
    const {codec, clock, deployment, peers} = this.parts;
    const {request, route, maxRuns, resumption} = relayed;
    const {exchange, requestId, lines, body} = request;
    const now = clock.getNow();
    const hop = {deployment, from: peers.name, maxRuns};
    return {
      permit: new SendPermit(createTarget(host)),
      requestId,
      method: exchange.method,
      path: formatRelayPath(hop, exchange.path),
      lines: codec.encodeRelay(lines, {
        hostName: host.name,
        remainingMs: computeRemainingMs(request, route, now),
        lastEventId: resumption?.lastEventId,
        resumedRequestId: resumption?.requestId,
      }),
      body,
    };
  }

  /** Describes a host as if it were an endpoint, for the attempts there. */
  createRecord(host: RelayHost, service: string): EndpointRecord {
    const {address, failureDomain} = host;
    return new EndpointRecord(
      {
        ...createTarget(host),
        address,
        failureDomain,
        service,
        version: '',
        slots: Number.MAX_SAFE_INTEGER,
        state: 'ready',
      },
      () => Number.MAX_SAFE_INTEGER,
      () => this.parts.clock.getNow(),
    );
  }

  /** Counts a request to a host until it has ended. */
  async countSend<T>({name}: RelayHost, send: () => Promise<T>): Promise<T> {
    this.inFlight.set(name, (this.inFlight.get(name) ?? 0) + 1);
    try {
      return await send();
    } finally {
      const left = (this.inFlight.get(name) ?? 1) - 1;
      if (left > 0) this.inFlight.set(name, left);
      else this.inFlight.delete(name);
    }
  }

  /**
   * Records that a host declined a request for a service. One that knows no such
   * route or key says nothing about other requests for the service.
   *
   * @param status Undefined if the host did not answer.
   */
  recordDecline(
    host: RelayHost,
    service: string,
    status: number | undefined,
  ): void {
    if (status !== undefined && UNKNOWN_STATUSES.has(status)) return;
    this.recordResult(host, service, false);
  }

  /** Records whether a host took a request for a service. */
  recordResult({name}: RelayHost, service: string, isAble: boolean): void {
    const at = this.parts.clock.getNow();
    this.results.set(`${name}/${service}`, {isAble, at});
  }

  /**
   * Forgets whether a host takes requests: one whose connection broke amid a
   * request may be sound, but is no better than one that was never tried.
   */
  dropResult({name}: RelayHost, service: string): void {
    this.results.delete(`${name}/${service}`);
  }

  /** Whether the host that sent these lines declined to serve the request. */
  hasDeclined(lines: HeaderLines): boolean {
    return findHeader(lines, RELAY_HEADER.toLowerCase()) === DECLINED;
  }

  /** Closes the idle connections. */
  close(): void {
    this.client.close();
  }

  /** Whether a host can serve a service; undefined if that is not known. */
  private findAbility({name}: RelayHost, service: string): boolean | undefined {
    const key = `${name}/${service}`;
    const result = this.results.get(key);
    if (result === undefined) return undefined;
    const ageMs = this.parts.clock.getNow() - result.at;
    if (ageMs < (result.isAble ? ABLE_MS : UNABLE_MS)) return result.isAble;
    this.results.delete(key);
    return undefined;
  }

  /** Finds the host with the fewest relayed requests for what it can carry. */
  private findLeastBusy(hosts: readonly RelayHost[]): RelayHost | undefined {
    const weights = computeHostWeights(hosts);
    const isUnequal = hasUnequalWeights(weights);
    let found: RelayHost | undefined;
    let fewest = Infinity;
    for (const [at, host] of hosts.entries()) {
      const weight = isUnequal ? (weights[at] ?? 1) : 1;
      const load = this.countInFlight(host) / weight;
      if (load >= fewest) continue;
      found = host;
      fewest = load;
    }
    return found;
  }

  private countInFlight({name}: RelayHost): number {
    return this.inFlight.get(name) ?? 0;
  }
}

function createTarget({name, address}: RelayHost): SendPermit['target'] {
  return {instanceId: `host ${name}`, endpointId: name, address};
}
