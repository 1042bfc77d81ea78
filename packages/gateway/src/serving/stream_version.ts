/**
 * The software version of one stream. Its first event binds the stream to the
 * version of the engine that sent it, and this host reports that to other
 * hosts before the caller gets the event: the caller may resume the stream at
 * any of them. A stream that this host did not begin is bound to the version
 * that other hosts report. See docs/design/software_versions.md.
 */
import {
  decideOriginVersion,
  type OriginDecision,
  type OriginDoubt,
  type OriginKey,
  type OriginRecord,
  type OriginSource,
} from '@irisdock/decisions';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointRecord} from './endpoint_record.js';
import {
  createOriginKey,
  listOriginRecords,
  type KnownOrigins,
  type OriginLookup,
} from './origin_lookup.js';
import {hashStreamId} from './request_content.js';
import type {ServingParts} from './serving_parts.js';
import {findConfirmedOrigins} from './past_confirmation.js';
import type {PastDoubt} from './version_history.js';
import {
  createOrigin,
  getSoftwareVersion,
  VersionBinding,
  type StreamOrigin,
} from './version_binding.js';

/** How long an origin is kept for a caller without a deadline, in ms. */
const MAX_KEPT_MS = 600_000;

/** Whether the hosts that a lookup asked answered, as a metric's label. */
type HostAnswers = 'answered' | 'none_asked' | 'silent';

/** Dependencies of a stream's version. */
type StreamVersionParts = Pick<
  ServingParts,
  | 'clock'
  | 'endpoints'
  | 'log'
  | 'metrics'
  | 'origins'
  | 'startedAt'
  | 'versions'
>;

/** Why a stream's version is not known. */
export type VersionDoubt = OriginDoubt | 'read_failed';

/** The software version of one stream. */
export class StreamVersion {
  readonly binding = new VersionBinding();
  /** Ends the reports on the stream, by the attempt that names it. */
  private readonly published = new Map<string, () => void>();
  /** What is known of a begun stream; undefined until looked up. */
  private known: KnownOrigins | undefined;
  private doubt: VersionDoubt | undefined;

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
    const {requestId} = this.request;
    const name = this.firstRequestId ?? requestId;
    if (this.published.has(name)) return;
    this.publish(this.binding.bind(createOrigin(engine)), name);
  }

  /**
   * Binds a begun stream to its version, looked up once.
   *
   * @returns Why its version is not known; undefined if it is.
   */
  async resolve(): Promise<VersionDoubt | undefined> {
    if (this.isBound || this.doubt !== undefined) return this.doubt;
    const {known, possible} = await findConfirmedOrigins(
      this.parts,
      () => this.createKey(),
      () => this.listPossible(),
    );
    this.known = known;
    const decision = decide(known, possible);
    if (decision.version === undefined) {
      const isUnread = known.stored?.isRead === false;
      const isOpen = decision.doubt !== 'contradiction';
      this.doubt = isUnread && isOpen ? 'read_failed' : decision.doubt;
      this.writeLog('unknown');
      return this.doubt;
    }
    const [record] = listOriginRecords(known);
    const {service, instanceId} = record ?? {
      service: this.service,
      instanceId: '',
    };
    const {version} = decision;
    const origin = this.binding.bind({service, instanceId, version});
    // The caller may name this attempt when it resumes the stream again.
    this.publish(origin, this.request.requestId);
    this.writeLog(decision.source);
    return undefined;
  }

  /** Stops reporting, as this host no longer runs the stream. */
  close(): void {
    for (const endReports of this.published.values()) endReports();
  }

  /** Reports the origin of the stream under the id of one of its attempts. */
  private publish(origin: StreamOrigin, requestId: string): void {
    const {team, content, callerDeadline} = this.request;
    const {clock, origins} = this.parts;
    const leftMs = callerDeadline - clock.getNow();
    const endReports = origins.publish({
      ...origin,
      streamId: hashStreamId(team, requestId),
      content,
      remainingMs: Math.min(MAX_KEPT_MS, leftMs),
    });
    this.published.set(requestId, endReports);
  }

  private writeLog(source: OriginSource | 'unknown'): void {
    const {metrics, log, clock, endpoints, startedAt} = this.parts;
    const {lookup, recorded, stored} = this.known ?? {};
    const now = clock.getNow();
    const {standing} = endpoints.peers;
    metrics.origins.inc({source, hosts: getHostAnswers(lookup)});
    const pastDoubt = this.findPastDoubt();
    // A known past decides nothing about records that contradict each other.
    const isOpen = source === 'unknown' && this.doubt !== 'contradiction';
    if (isOpen && pastDoubt !== undefined) {
      metrics.unknownPasts.inc({cause: pastDoubt});
    }
    log.writeInfo('Looked up the software version of a stream.', {
      request: this.request.requestId,
      resumes: this.firstRequestId,
      source,
      doubt: this.doubt,
      softwareVersion: this.binding.origin?.version,
      recorded: listVersions(recorded ?? []).join(),
      stored: stored && listVersions(stored.records).join(),
      storeRead: stored?.isRead,
      rows: stored?.rows,
      possible: this.listPossible()?.join() ?? 'unknown',
      pastDoubt,
      listed: formatCounts(this.listEngineVersions()),
      hostsAsked: lookup?.hostsAsked,
      hostsAnswered: lookup?.hostsAnswered,
      hostUpMs: Math.round(now - startedAt),
      endpointsAgeMs: Math.round(standing.getAgeMs('endpoints', now)),
    });
  }

  private findPastDoubt(): PastDoubt | undefined {
    const doubt = this.parts.versions.findDoubt(this.service);
    if (doubt !== undefined || this.doubt !== 'past_unknown') return doubt;
    return 'unconfirmed';
  }

  private createKey(): OriginKey {
    const now = this.parts.clock.getNow();
    return createOriginKey(this.request, this.firstRequestId, now);
  }

  private listPossible(): readonly string[] | undefined {
    return this.parts.versions.listPossible(this.service);
  }

  private listEngineVersions(): string[] {
    const versions: string[] = [];
    for (const engine of this.parts.endpoints.listAll()) {
      if (engine.entry.service !== this.service) continue;
      versions.push(getSoftwareVersion(engine));
    }
    return versions;
  }
}

function decide(
  {recorded, stored}: KnownOrigins,
  possible: readonly string[] | undefined,
): OriginDecision {
  return decideOriginVersion({
    recorded: listVersions(recorded),
    stored: listVersions(stored?.records ?? []),
    possible,
  });
}

function listVersions(
  records: readonly Pick<OriginRecord, 'version'>[],
): string[] {
  return records.map(({version}) => version);
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
