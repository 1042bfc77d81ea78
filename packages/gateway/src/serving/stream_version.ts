/**
 * The software version of one stream. Its first event binds the stream to the
 * version of the engine that sent it, and this host reports that to other
 * hosts before the caller gets the event: the caller may resume the stream at
 * any of them. A stream that this host did not begin is bound to the version
 * that other hosts report. See docs/design/software_versions.md.
 */
import {
  decideOriginVersion,
  type OriginKey,
  type OriginRecord,
  type OriginSource,
} from '@irisdock/decisions';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointRecord} from './endpoint_record.js';
import {hashStreamId} from './request_content.js';
import type {ServingParts} from './serving_parts.js';
import {
  createOrigin,
  getSoftwareVersion,
  VersionBinding,
} from './version_binding.js';

/** How long an origin is kept for a caller without a deadline, in ms. */
const MAX_KEPT_MS = 600_000;

/** What a lookup of an origin found, and whom it asked. */
export interface OriginLookup {
  readonly records: readonly OriginRecord[];
  /** The number of other hosts that were asked. */
  readonly hostsAsked: number;
  /** The number of those that answered before the lookup ended. */
  readonly hostsAnswered: number;
}

/** Whether the hosts that a lookup asked answered, as a metric's label. */
type HostAnswers = 'answered' | 'none_asked' | 'silent';

/** Reports and looks up origins among all hosts. */
export interface StreamOrigins {
  /**
   * Keeps an origin and reports it to the hosts that also keep it.
   *
   * @returns A function to call when this host no longer runs the stream.
   */
  publish(record: OriginRecord): () => void;
  /**
   * Looks an origin up at the hosts that keep it.
   *
   * @param isThorough Whether to ask hosts at random if none of these knows it,
   *     or if the key names no stream.
   */
  find(key: OriginKey, isThorough: boolean): Promise<OriginLookup>;
}

/** Dependencies of a stream's version. */
type StreamVersionParts = Pick<
  ServingParts,
  'clock' | 'endpoints' | 'log' | 'metrics' | 'origins' | 'startedAt'
>;

/**
 * Creates the key by which the origin of a begun stream is looked up.
 *
 * @param firstRequestId The attempt that brought its first event, if known.
 */
function createOriginKey(
  {team, content}: AdmittedRequest,
  firstRequestId: string | undefined,
): OriginKey {
  const isNamed = firstRequestId !== undefined;
  const streamId = isNamed ? hashStreamId(team, firstRequestId) : undefined;
  return {streamId, content};
}

/**
 * Finds the service that began the stream that a caller resumes; undefined if
 * no host recorded it.
 */
export async function findOriginService(
  origins: StreamOrigins,
  request: AdmittedRequest,
): Promise<string | undefined> {
  const {resumedRequestId} = request.metadata;
  const key = createOriginKey(request, resumedRequestId);
  const {records} = await origins.find(key, true);
  return records[0]?.service;
}

/** The software version of one stream. */
export class StreamVersion {
  readonly binding = new VersionBinding();
  private stopPublishing: (() => void) | undefined;
  /** What hosts know of a begun stream; undefined until looked up. */
  private lookup: OriginLookup | undefined;

  constructor(
    private readonly parts: StreamVersionParts,
    private readonly request: AdmittedRequest,
    private readonly service: string,
  ) {}

  /** The attempt that brought the first event, if it is known. */
  get firstRequestId(): string | undefined {
    const {metadata, requestId} = this.request;
    const isNew = metadata.lastEventId === undefined;
    return isNew ? requestId : metadata.resumedRequestId;
  }

  private get isBound(): boolean {
    return this.binding.origin !== undefined;
  }

  /** Binds the stream to the engine that sent an event, unless it is bound. */
  recordEvent(engine: EndpointRecord): void {
    if (this.stopPublishing !== undefined) return;
    const origin = this.binding.bind(createOrigin(engine));
    const {team, requestId, content} = this.request;
    const {clock, origins} = this.parts;
    const leftMs = this.request.callerDeadline - clock.getNow();
    this.stopPublishing = origins.publish({
      ...origin,
      streamId: hashStreamId(team, this.firstRequestId ?? requestId),
      content,
      remainingMs: Math.min(MAX_KEPT_MS, leftMs),
    });
  }

  /** Binds a begun stream to the version that hosts recorded, if any did. */
  async loadRecords(): Promise<void> {
    const key = createOriginKey(this.request, this.firstRequestId);
    const hasSeveralVersions = new Set(this.listVersions()).size > 1;
    this.lookup = await this.parts.origins.find(key, hasSeveralVersions);
    this.decide([], []);
  }

  /**
   * Binds a begun stream to its version.
   *
   * @param cachingEngines Engines that have the whole prompt in their cache.
   * @returns False if the version is not known.
   */
  async resolve(cachingEngines: readonly EndpointRecord[]): Promise<boolean> {
    if (this.isBound) return true;
    if (this.lookup === undefined) await this.loadRecords();
    const cached = cachingEngines.map(getSoftwareVersion);
    if (this.decide(cached, this.listVersions())) return true;
    this.writeLog('unknown', cached);
    return false;
  }

  /** Stops reporting, as this host no longer runs the stream. */
  close(): void {
    this.stopPublishing?.();
  }

  /** Binds the stream if the evidence allows it; returns whether it is. */
  private decide(
    cached: readonly string[],
    listed: readonly string[],
  ): boolean {
    if (this.isBound) return true;
    const records = this.lookup?.records ?? [];
    const recorded = records.map(({version}) => version);
    const decision = decideOriginVersion({recorded, cached, listed});
    if (decision === undefined) return false;
    const {service, instanceId} = records[0] ?? {
      service: this.service,
      instanceId: '',
    };
    this.binding.bind({service, instanceId, version: decision.version});
    this.writeLog(decision.source, cached);
    return true;
  }

  private writeLog(
    source: OriginSource | 'unknown',
    cached: readonly string[],
  ): void {
    const {metrics, log, clock, endpoints, startedAt} = this.parts;
    const {lookup} = this;
    const now = clock.getNow();
    const {standing} = endpoints.peers;
    metrics.origins.inc({source, hosts: getHostAnswers(lookup)});
    log.writeInfo('Looked up the software version of a stream.', {
      request: this.request.requestId,
      resumes: this.firstRequestId,
      source,
      softwareVersion: this.binding.origin?.version,
      recorded: lookup?.records.map(({version}) => version).join(),
      cached: cached.join(),
      listed: formatCounts(this.listVersions()),
      hostsAsked: lookup?.hostsAsked,
      hostsAnswered: lookup?.hostsAnswered,
      hostUpMs: Math.round(now - startedAt),
      endpointsAgeMs: Math.round(standing.getAgeMs('endpoints', now)),
    });
  }

  private listVersions(): string[] {
    const versions: string[] = [];
    for (const engine of this.parts.endpoints.listAll()) {
      if (engine.entry.service !== this.service) continue;
      versions.push(getSoftwareVersion(engine));
    }
    return versions;
  }
}

function getHostAnswers(lookup: OriginLookup | undefined): HostAnswers {
  if (lookup === undefined || lookup.hostsAsked === 0) return 'none_asked';
  return lookup.hostsAnswered > 0 ? 'answered' : 'silent';
}

/** Formats versions with how many engines have each, such as `v1:3,v2:1`. */
function formatCounts(versions: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const version of versions) {
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  return [...counts].map(([version, count]) => `${version}:${count}`).join();
}
