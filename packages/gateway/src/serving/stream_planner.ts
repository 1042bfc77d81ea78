/**
 * Places the attempts of one stream: the first on the engine that suits its
 * prompt best, each later one on the engine that holds a replica of the KV
 * cache, or else outside the engines and failure domains that were lost.
 */
import {
  chooseIsolatedEngine,
  decideFarEngineCount,
  chooseBackupEngine,
  chooseEngine,
  decideRemoteEngineCount,
  type EngineRequest,
} from '@irisdock/decisions';
import {getSample} from '@irisdock/kernel';
import type {RequestMetadata} from '../model/request_metadata.js';
import type {AdmittedRequest} from './caller_exchange.js';
import {EngineExclusions} from './engine_exclusions.js';
import type {KvCacheReplica} from './kv_cache_replicator.js';
import type {EndpointRecord, UseClaim} from './endpoint_record.js';
import {listDraining, listStreamEngines} from './live_endpoints.js';
import type {ServingParts} from './serving_parts.js';
import type {AttemptPlan, AttemptResult} from './stream_attempt.js';
import {
  createOrigin,
  isOfOrigin,
  type VersionBinding,
} from './version_binding.js';

/** Expected fraction of the allowed output tokens without a caller's hint. */
const EXPECTED_OUTPUT_FRACTION = 0.5;

/**
 * A stream with this many crashes gets an engine for itself. Every stream on an
 * engine that exits is counted one crash; one with two is probably the cause.
 */
const MIN_CRASHES_FOR_OWN_ENGINE = 2;

/** Plans the attempts of one stream. */
export class StreamPlanner {
  /** The engines that the next attempt does not use. */
  readonly exclusions = new EngineExclusions();
  private readonly avoidedDomains = new Set<string>();
  private replica: KvCacheReplica | undefined;
  /** Engines whose load this host knows; undefined when it knows all. */
  private knownLoadEngines: readonly EndpointRecord[] | undefined;
  private trialEngines: readonly EndpointRecord[] | undefined;
  private cachedTokens: ReadonlyMap<string, number> = new Map();
  private readonly metadata: RequestMetadata;
  private readonly content: string;

  constructor(
    private readonly parts: ServingParts,
    {metadata, content}: AdmittedRequest,
    private readonly service: string,
    private readonly binding: VersionBinding,
  ) {
    this.metadata = metadata;
    this.content = content;
  }

  /** Whether another engine holds the KV cache of the attempt that ended. */
  get hasReplica(): boolean {
    return this.findReplicaHolder(this.replica) !== undefined;
  }

  /** The expected size of the stream's KV cache, in tokens. */
  get expectedTokens(): number {
    const {promptTokens, maxOutputTokens, estimatedOutputTokens} =
      this.metadata;
    const guess =
      estimatedOutputTokens ?? maxOutputTokens * EXPECTED_OUTPUT_FRACTION;
    return promptTokens + guess;
  }

  /** Records that an attempt ended early on an engine. */
  recordAttemptEnd(endpoint: EndpointRecord, result: AttemptResult): void {
    const {exclusions} = this;
    const {kind} = result;
    exclusions.dropTaken();
    if (kind === 'lost') {
      const isLeft = result.silence !== undefined;
      if (isLeft) exclusions.recordLeft(endpoint);
      else exclusions.recordLost(endpoint);
      // A failure domain may be lost as a whole, but not as the stream left an
      // engine whose end was announced.
      if (isLeft && endpoint.endsAt !== undefined) return;
      this.avoidedDomains.add(endpoint.failureDomain);
      return;
    }
    // A begun stream has no engines but those of its version, and one that
    // refused it may have room again soon.
    const isBegun = this.binding.origin !== undefined;
    if (isBegun && kind === 'refused') exclusions.recordRefused(endpoint);
    else exclusions.recordFailed(endpoint);
  }

  /** Records that an engine's limit held an attempt back. */
  recordHold({endpoint, kvCacheSource}: AttemptPlan): void {
    this.exclusions.recordHeld(endpoint);
    if (kvCacheSource === undefined) return;
    this.replica = {source: kvCacheSource, holder: endpoint};
  }

  /** Lists the engines that lost an attempt and may be used again. */
  async listLost(): Promise<EndpointRecord[]> {
    const engines = [...this.listEngines(), ...(await this.listDraining())];
    return engines.filter((engine) => this.exclusions.isReturnable(engine));
  }

  /** Sets the KV cache replica of the attempt that ended. */
  setReplica(replica: KvCacheReplica | undefined): void {
    this.replica = replica;
  }

  /**
   * Finds the engines to prefer for the first attempt: those of a rollout trial
   * for a new stream, those with the prompt for a reconnecting caller.
   */
  async loadPreferences(): Promise<void> {
    if (this.metadata.lastEventId !== undefined) {
      await this.findCachedPrompt();
      return;
    }
    this.trialEngines = this.parts.rollouts.takeTrial(this.service);
  }

  /**
   * Finds the engines that have the prompt of a reconnecting caller in their
   * prompt cache.
   */
  private async findCachedPrompt(): Promise<void> {
    const {promptParts} = this.metadata;
    const usable = this.listEngines();
    const finder = this.parts.promptCaches;
    this.cachedTokens = await finder.findCachedTokens(usable, promptParts);
  }

  /**
   * Asks for the load of engines outside this host's home group: of a random
   * sample when the engines of the group are busy or gone, and of those that
   * have the prompt in their cache. Engines of other regions are only sampled
   * when those of this host's region are busy or gone as well.
   */
  async pollRemoteEngines(): Promise<void> {
    this.knownLoadEngines = undefined;
    if (this.findReplicaHolder(this.replica) !== undefined) return;
    const {endpoints, random} = this.parts;
    const {groups} = endpoints.peers;
    const usable = this.listEngines();
    const isHome = ({instanceId}: EndpointRecord): boolean =>
      groups.isHome(instanceId);
    const home = usable.filter(isHome);
    if (home.length === usable.length) return;
    const request = this.createEngineRequest();
    const others = usable.filter((engine) =>
      this.isEligibleRemote(engine, isHome),
    );
    const cachingEngines = others.filter(
      (engine) => this.countCachedTokens(engine) > 0,
    );
    const {near, far} = endpoints.peers.position.splitByRegion(others);
    const count = decideRemoteEngineCount(home, request);
    const sampled = getSample(near, count, random);
    const polled = new Set([...sampled, ...cachingEngines]);
    const known = [...home, ...(await this.pollEngines(polled))];
    const farCount =
      far.length === 0 ? 0 : decideFarEngineCount(known, request);
    const farSample = getSample(far, farCount, random).filter(
      (engine) => !polled.has(engine),
    );
    known.push(...(await this.pollEngines(new Set(farSample))));
    this.knownLoadEngines = known;
  }

  /** Asks for the load of engines; lists those for which it is known. */
  private async pollEngines(
    polled: ReadonlySet<EndpointRecord>,
  ): Promise<EndpointRecord[]> {
    if (polled.size === 0) return [];
    const {endpoints} = this.parts;
    const {useQueries} = endpoints.peers;
    const ids = [...polled].map(({instanceId}) => instanceId);
    const known: EndpointRecord[] = [];
    for (const {instanceId, failures, ...use} of await useQueries.poll(ids)) {
      const engine = endpoints.find(instanceId);
      if (engine === undefined || !this.isOpen(engine)) continue;
      engine.setHomeGroupUse(use, failures);
      known.push(engine);
    }
    return known;
  }

  /** Places the next attempt; undefined when there is no engine for it. */
  choosePlan(): AttemptPlan | undefined {
    const plan = this.chooseAvailable();
    if (plan !== undefined || !this.exclusions.hasTaken) return plan;
    this.exclusions.dropTaken();
    return this.chooseAvailable();
  }

  private chooseAvailable(): AttemptPlan | undefined {
    const trialPlan = this.chooseTrial();
    if (trialPlan !== undefined) return trialPlan;
    const usable = this.listEngines();
    const request = this.createEngineRequest();
    const {replica} = this;
    this.replica = undefined;
    const holder = this.findReplicaHolder(replica);
    const endpoint =
      holder ??
      this.chooseIsolated(usable, request) ??
      this.takeUnconfirmed(usable) ??
      chooseEngine(this.knownLoadEngines ?? usable, request) ??
      chooseEngine(usable, request);
    if (endpoint === undefined) return undefined;
    const backup = this.chooseBackup(usable, endpoint, request);
    const kvCacheSource = holder === undefined ? undefined : replica?.source;
    return {endpoint, backup, kvCacheSource};
  }

  /**
   * Places the next attempt of a begun stream on a leaving engine that still
   * serves. A stream that crashed engines must not end those of others there.
   */
  async findDraining(): Promise<AttemptPlan | undefined> {
    const engines = await this.listDraining();
    const endpoint = chooseEngine(engines, this.createEngineRequest());
    return endpoint === undefined ? undefined : this.createPlan(endpoint);
  }

  private async listDraining(): Promise<readonly EndpointRecord[]> {
    const {parts, service, binding, content} = this;
    const {origin} = binding;
    if (origin === undefined) return [];
    if (parts.crashes.countCrashes(content) > 0) return [];
    return listDraining(parts, service, origin);
  }

  /** Places the next attempt on a given engine, which reads the prompt. */
  createPlan(endpoint: EndpointRecord): AttemptPlan {
    const request = this.createEngineRequest();
    const backup = this.chooseBackup(this.listEngines(), endpoint, request);
    return {endpoint, backup, kvCacheSource: undefined};
  }

  /** Chooses a standby from which the stream may be continued. */
  private chooseBackup(
    engines: readonly EndpointRecord[],
    endpoint: EndpointRecord,
    request: EngineRequest,
  ): EndpointRecord | undefined {
    if (!this.isBackupEnabled()) return undefined;
    const origin = this.binding.origin ?? createOrigin(endpoint);
    const ofVersion = engines.filter((engine) => isOfOrigin(engine, origin));
    return chooseBackupEngine(ofVersion, endpoint, request);
  }

  /** Chooses the engine of a stream that crashed one; undefined for others. */
  private chooseIsolated(
    usable: readonly EndpointRecord[],
    request: EngineRequest,
  ): EndpointRecord | undefined {
    const {content, parts} = this;
    if (parts.crashes.countCrashes(content) === 0) return undefined;
    return chooseIsolatedEngine(usable, request, content);
  }

  /** Takes an engine whose limit may have been lifted; only for new streams. */
  private takeUnconfirmed(
    usable: readonly EndpointRecord[],
  ): EndpointRecord | undefined {
    if (!this.exclusions.isFirstAttempt) return undefined;
    if (this.metadata.lastEventId !== undefined) return undefined;
    return this.parts.gate.takeUnconfirmed(usable);
  }

  /** Creates the claim of an attempt on its engine. */
  createClaim({endpoint, kvCacheSource}: AttemptPlan): UseClaim {
    return {
      running: this.countClaimedSlots(endpoint),
      unreadTokens:
        kvCacheSource === undefined ? this.countUnread(endpoint) : 0,
      expectedTokens: this.expectedTokens,
    };
  }

  /**
   * Counts the slots that the stream claims on an engine, as seen by all hosts:
   * all of them if the stream crashed engines repeatedly, so that no other
   * stream is placed beside it.
   */
  private countClaimedSlots(endpoint: EndpointRecord): number {
    const crashes = this.parts.crashes.countCrashes(this.content);
    return crashes >= MIN_CRASHES_FOR_OWN_ENGINE ? endpoint.slots : 1;
  }

  private chooseTrial(): AttemptPlan | undefined {
    const {trialEngines} = this;
    this.trialEngines = undefined;
    if (trialEngines === undefined) return undefined;
    const endpoint = chooseEngine(trialEngines, this.createEngineRequest());
    if (endpoint === undefined) return undefined;
    return {endpoint, backup: undefined, kvCacheSource: undefined};
  }

  /** Counts the tokens of the prompt that an engine has in its cache. */
  countCachedTokens(endpoint: EndpointRecord): number {
    return this.cachedTokens.get(endpoint.instanceId) ?? 0;
  }

  /** Counts the tokens of the prompt that an engine has to process. */
  private countUnread(endpoint: EndpointRecord): number {
    return Math.max(
      0,
      this.metadata.promptTokens - this.countCachedTokens(endpoint),
    );
  }

  /** Describes what the stream now requires of an engine. */
  createEngineRequest(): EngineRequest {
    return {
      expectedTokens: this.expectedTokens,
      promptTokens: this.metadata.promptTokens,
      excluded: this.exclusions.listIds(),
      avoidedDomains: this.listAvoidedDomains(),
      promptKey: this.metadata.promptParts.at(-1)?.id ?? '',
      keptTokens: this.cachedTokens,
      position: this.parts.endpoints.peers.position,
    };
  }

  /** Whether an engine outside the home group may run the stream. */
  private isEligibleRemote(
    engine: EndpointRecord,
    isHome: (engine: EndpointRecord) => boolean,
  ): boolean {
    if (isHome(engine) || this.exclusions.has(engine)) return false;
    return !this.listAvoidedDomains().has(engine.failureDomain);
  }

  /** A failure domain with a silent engine may be silent as a whole. */
  private listAvoidedDomains(): ReadonlySet<string> {
    const silentDomains = this.exclusions.listSilentDomains();
    if (silentDomains.length === 0) return this.avoidedDomains;
    return new Set([...this.avoidedDomains, ...silentDomains]);
  }

  /** Finds the engine that holds a replica, if it may take requests. */
  private findReplicaHolder(
    replica: KvCacheReplica | undefined,
  ): EndpointRecord | undefined {
    if (replica === undefined || !this.isOpen(replica.holder)) return undefined;
    if (this.exclusions.has(replica.holder)) return undefined;
    const {instanceId} = replica.holder;
    if (this.parts.crashes.hasCrashed(instanceId)) return undefined;
    return replica.holder;
  }

  /** Lists the engines whose load this host knows. */
  listKnownEngines(): readonly EndpointRecord[] {
    return this.knownLoadEngines ?? this.listEngines();
  }

  /** Lists the live engines that may run the stream. */
  private listEngines(): readonly EndpointRecord[] {
    return listStreamEngines(this.parts, this.service, this.binding.origin);
  }

  /** Whether an engine may run the stream, apart from its own attempts. */
  private isOpen(engine: EndpointRecord): boolean {
    const isBegun = this.binding.origin !== undefined;
    const isOpen = isBegun ? engine.isOpenToBegun : engine.isUsable;
    return isOpen && this.binding.isOpenTo(engine);
  }

  private isBackupEnabled(): boolean {
    const service = this.parts.configuration.findService(this.service);
    return service?.engine?.takesBackups ?? false;
  }
}
