/**
 * Where the attempts of one stream run: the first on the engine that suits its
 * prompt, each later one where a copy of the run's memory is kept, or else
 * away from the engines and failure domains that were lost.
 */
import {
  chooseIsolatedEngine,
  chooseBackupEngine,
  chooseEngine,
  decideRemoteEngineCount,
  type EngineRequest,
} from '@irisdock/decisions';
import {getSample} from '@irisdock/kernel';
import type {RequestMetadata} from '../model/request_metadata.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {KvCacheReplica} from './kv_cache_replicator.js';
import type {EndpointRecord} from './endpoint_record.js';
import {listLiveEndpoints} from './live_endpoints.js';
import type {ServingParts} from './serving_parts.js';
import type {AttemptPlan} from './stream_attempt.js';

/** The part of the tokens allowed that is expected without a caller's guess. */
const EXPECTED_OUTPUT_PART = 0.5;

/**
 * Crashes from which on a stream runs alone. One is had by all that ran on an
 * engine that ended; who has two is probably the cause.
 */
const ALONE_FROM = 2;

/** Plans the attempts of one stream. */
export class StreamPlanner {
  private readonly excluded = new Set<string>();
  private readonly avoidedDomains = new Set<string>();
  /** Engines whose limits held this stream back; they may let it through later. */
  private readonly held = new Set<string>();
  private copy: KvCacheReplica | undefined;
  /** Engines whose load is known here; undefined when that is all of them. */
  private known: readonly EndpointRecord[] | undefined;
  private trial: readonly EndpointRecord[] | undefined;
  private keptTokens: ReadonlyMap<string, number> = new Map();
  private readonly terms: RequestMetadata;
  private readonly content: string;

  constructor(
    private readonly parts: ServingParts,
    {terms, content}: AdmittedRequest,
    private readonly service: string,
  ) {
    this.terms = terms;
    this.content = content;
  }

  /** Whether the memory of the attempt that ended is kept elsewhere. */
  get hasReplica(): boolean {
    return this.findHolder(this.copy) !== undefined;
  }

  /** Tokens that the stream will probably take in memory. */
  get expectedTokens(): number {
    const {
      promptTokens,
      maxOutputTokens,
      estimatedOutputTokens: guessedOutputTokens,
    } = this.terms;
    const guess = guessedOutputTokens ?? maxOutputTokens * EXPECTED_OUTPUT_PART;
    return promptTokens + guess;
  }

  /** Takes it that an attempt ended early on an engine. */
  recordAttemptEnd(endpoint: EndpointRecord, isLost: boolean): void {
    this.excluded.add(endpoint.instanceId);
    // Whole failure domains are lost at once.
    if (isLost) this.avoidedDomains.add(endpoint.failureDomain);
  }

  /** Takes it that an engine's limit let no attempt through. */
  recordHold({endpoint, memorySource}: AttemptPlan): void {
    this.held.add(endpoint.instanceId);
    if (memorySource === undefined) return;
    this.copy = {source: memorySource, holder: endpoint};
  }

  /** Looks again at engines whose limits held the stream back. */
  dropHolds(): void {
    this.held.clear();
  }

  /** Takes where the memory of the attempt that ended is kept. */
  setReplica(copy: KvCacheReplica | undefined): void {
    this.copy = copy;
  }

  /**
   * Looks for engines that keep the prompt of a caller that comes again; for
   * others there is nothing to find, and no time is spent.
   */
  async findCachedPrompt(): Promise<void> {
    const {lastEventId, promptParts} = this.terms;
    if (lastEventId === undefined) return;
    const usable = listLiveEndpoints(this.parts, this.service);
    const finder = this.parts.promptCaches;
    this.keptTokens = await finder.findCachedTokens(usable, promptParts);
  }

  /**
   * Finds out what runs on some engines that are not at home in this host's
   * group, where its own are busy or gone, and on those that keep the prompt.
   */
  async pollRemoteEngines(): Promise<void> {
    this.known = undefined;
    if (this.findHolder(this.copy) !== undefined) return;
    const {endpoints, random} = this.parts;
    const {groups, useQueries: questions} = endpoints.peers;
    const usable = listLiveEndpoints(this.parts, this.service);
    const isHome = ({instanceId}: EndpointRecord): boolean =>
      groups.isHome(instanceId);
    const home = usable.filter(isHome);
    if (home.length === usable.length) return;
    const request = this.createEngineRequest();
    const others = usable.filter((engine) => this.isOpen(engine, isHome));
    const keepers = others.filter(
      (engine) => this.countCachedTokens(engine) > 0,
    );
    const count = decideRemoteEngineCount(home, request);
    const drawn = getSample(others, count, random);
    const asked = new Set([...drawn, ...keepers]);
    if (asked.size === 0) {
      this.known = home;
      return;
    }
    const ids = [...asked].map(({instanceId}) => instanceId);
    const known = [...home];
    for (const {instanceId, failures, ...use} of await questions.poll(ids)) {
      const engine = endpoints.find(instanceId);
      if (engine?.isUsable !== true) continue;
      engine.setHomeGroupUse(use, failures);
      known.push(engine);
    }
    this.known = known;
  }

  /** Takes it that the first attempt is a trial of a version on one of these. */
  setTrial(engines: readonly EndpointRecord[] | undefined): void {
    this.trial = engines;
  }

  /** Chooses where the next attempt runs; undefined when there is no engine. */
  choosePlan(): AttemptPlan | undefined {
    const trial = this.chooseTrial();
    if (trial !== undefined) return trial;
    const usable = listLiveEndpoints(this.parts, this.service);
    const request = this.createEngineRequest();
    const {copy} = this;
    this.copy = undefined;
    const holder = this.findHolder(copy);
    const endpoint =
      holder ??
      this.chooseApart(usable, request) ??
      this.takeUnconfirmed(usable) ??
      chooseEngine(this.known ?? usable, request) ??
      chooseEngine(usable, request);
    if (endpoint === undefined) return undefined;
    const backup = this.hasBackups()
      ? chooseBackupEngine(usable, endpoint, request)
      : undefined;
    const memorySource = holder === undefined ? undefined : copy?.source;
    return {endpoint, backup, memorySource};
  }

  /** Chooses for a stream under which an engine ended; undefined for others. */
  private chooseApart(
    usable: readonly EndpointRecord[],
    request: EngineRequest,
  ): EndpointRecord | undefined {
    const {content, parts} = this;
    if (parts.crashes.countCrashes(content) === 0) return undefined;
    return chooseIsolatedEngine(usable, request, content);
  }

  /** Takes an engine whose limit may be over; only for streams that begin. */
  private takeUnconfirmed(
    usable: readonly EndpointRecord[],
  ): EndpointRecord | undefined {
    const isFirst = this.excluded.size === 0 && this.held.size === 0;
    if (!isFirst || this.terms.lastEventId !== undefined) return undefined;
    return this.parts.gate.takeUnconfirmed(usable);
  }

  /**
   * Gives the slots that the stream takes of an engine by the account of all
   * hosts: every one if engines ended under it again, so that no other stream is
   * placed beside it.
   */
  countClaimedSlots(endpoint: EndpointRecord): number {
    const crashes = this.parts.crashes.countCrashes(this.content);
    return crashes >= ALONE_FROM ? endpoint.slots : 1;
  }

  private chooseTrial(): AttemptPlan | undefined {
    const {trial} = this;
    this.trial = undefined;
    if (trial === undefined) return undefined;
    const endpoint = chooseEngine(trial, this.createEngineRequest());
    if (endpoint === undefined) return undefined;
    return {endpoint, backup: undefined, memorySource: undefined};
  }

  /** Gives the tokens of the prompt that an engine keeps. */
  countCachedTokens(endpoint: EndpointRecord): number {
    return this.keptTokens.get(endpoint.instanceId) ?? 0;
  }

  /** Gives the tokens of the prompt that an engine has to read. */
  countUnread(endpoint: EndpointRecord): number {
    return Math.max(
      0,
      this.terms.promptTokens - this.countCachedTokens(endpoint),
    );
  }

  /** Gives what the stream asks of an engine now. */
  createEngineRequest(): EngineRequest {
    return {
      expectedTokens: this.expectedTokens,
      promptTokens: this.terms.promptTokens,
      excluded: this.held.size === 0 ? this.excluded : this.listExcluded(),
      avoidedDomains: this.avoidedDomains,
      promptKey: this.terms.promptParts.at(-1)?.id ?? '',
      keptTokens: this.keptTokens,
    };
  }

  /** Whether an engine of another group may run the stream. */
  private isOpen(
    engine: EndpointRecord,
    isHome: (engine: EndpointRecord) => boolean,
  ): boolean {
    if (isHome(engine) || this.isExcluded(engine)) return false;
    return !this.avoidedDomains.has(engine.failureDomain);
  }

  private listExcluded(): ReadonlySet<string> {
    return new Set([...this.excluded, ...this.held]);
  }

  private isExcluded({instanceId}: EndpointRecord): boolean {
    return this.excluded.has(instanceId) || this.held.has(instanceId);
  }

  /** Finds the engine that keeps a copy, if it may get work. */
  private findHolder(
    copy: KvCacheReplica | undefined,
  ): EndpointRecord | undefined {
    if (copy?.holder.isUsable !== true) return undefined;
    if (this.isExcluded(copy.holder)) return undefined;
    const {instanceId} = copy.holder;
    if (this.parts.crashes.hasCrashed(instanceId)) return undefined;
    return copy.holder;
  }

  private hasBackups(): boolean {
    const service = this.parts.configuration.findService(this.service);
    return service?.engine?.takesBackups ?? false;
  }
}
