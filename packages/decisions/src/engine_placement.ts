/**
 * Chooses the engine that runs a stream, and the one that keeps its standby
 * replica (a copy of the KV cache from which the stream resumes after a loss).
 *
 * An engine prefills prompts one after another, in chunks between the decode
 * steps of its streams. A new prompt therefore waits for the prompts before it,
 * and all streams on the engine wait while the new prompt is prefilled. The
 * engine with the lowest sum of both is chosen. Costs are in prompt tokens, so
 * that the choice does not depend on the speed of engines or the size of
 * prompts. See docs/design/stream_placement.md.
 *
 * With a replayed load of 1.25 streams an engine, the mean time from request to
 * end is 5.4 s, compared with 4.9 s for a stream alone on its engine, and 6.7 s
 * for a fixed cost per stream and a preferred engine per prompt.
 *
 * Among engines of equal cost, the first by the rendezvous hash of the prompt
 * is chosen, so that all hosts agree (`rendezvous_hash.ts`). Engines that
 * failed recently are used only if the others have no room. The standby replica
 * is in another failure domain, as all engines of a domain may be lost at once,
 * but in the same region if possible: each byte between regions costs several
 * times as much, and both the events of a stream and its replica would cross.
 */

import type {HostPosition} from './proximity.js';
import {sortByRendezvousHash} from './rendezvous_hash.js';

/** An engine as one host sees it, with the load that other hosts reported. */
export interface EngineView {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** Streams that run or wait there. */
  readonly streams: number;
  /** How many streams it runs at a time. */
  readonly slots: number;
  /** Prompt tokens that are not prefilled yet. */
  readonly unreadTokens: number;
  /** Tokens that its streams and standby replicas will occupy in total. */
  readonly expectedTokens: number;
  /** Tokens that its KV cache can hold. */
  readonly memoryTokens: number;
  /** Recent failures, decaying over time; 0 for a sound engine. */
  readonly failureScore: number;
}

/** What a stream requires of an engine. */
export interface EngineRequest {
  /** Tokens that the stream will occupy in the KV cache. */
  readonly expectedTokens: number;
  /** The length of the prompt, in tokens; 0 if unknown. */
  readonly promptTokens: number;
  /** Instance ids of engines that have failed this stream. */
  readonly excluded: ReadonlySet<string>;
  /** Failure domains that are used only if there is no other. */
  readonly avoidedDomains: ReadonlySet<string>;
  /** Identifies the prompt for the order of preference; empty for none. */
  readonly promptKey: string;
  /** Prompt tokens that engines cache from an earlier run, by instance. */
  readonly keptTokens: ReadonlyMap<string, number>;
  /** Where the host is that places the stream; one region without it. */
  readonly position?: HostPosition;
}

/** The length that is assumed for a prompt of unknown length, in tokens. */
const UNKNOWN_PROMPT_TOKENS = 1000;
/**
 * The cost of a failure that has just happened, in prompts of the request's
 * length. More prompts than this wait at an engine only if a domain is lost.
 */
const FAILURE_COST_PROMPTS = 8;
/** The cost of an avoided failure domain, in prompts; less than a failure. */
const DOMAIN_COST_PROMPTS = 4;
/**
 * The cost of an engine of another region, in prompts. A stream goes there once
 * the engines of the own region are loaded by so many more prompts or streams.
 * With 72 hosts, 80 engines and 34 streams a second in 3 regions, 0.6% of the
 * streams cross, and 10% while one of 6 failure domains is lost; the 99th
 * percentile then is 12.7 s. Without a cost 23% and 29% cross, and it is 12.4 s;
 * with a cost of 4, 0% and 8%, and 14.1 s (replayed load, two seeds).
 */
const REGION_COST_PROMPTS = 2;
/**
 * The cost of an engine without room, in prompts. It is more than that of a
 * failure, as the stream has to wait or evicts another one.
 */
const NO_ROOM_COST_PROMPTS = 20;
/** The share of the KV cache up to which standby replicas may be added. */
const MAX_BACKUP_FILL = 0.8;

/** Chooses an engine; undefined if all are excluded. */
export function chooseEngine<V extends EngineView>(
  engines: Iterable<V>,
  request: EngineRequest,
): V | undefined {
  let cheapest: V[] = [];
  let leastCost = Infinity;
  for (const engine of engines) {
    if (request.excluded.has(engine.instanceId)) continue;
    const cost = computeEngineCost(engine, request);
    if (cost > leastCost) continue;
    if (cost < leastCost) cheapest = [];
    leastCost = cost;
    cheapest.push(engine);
  }
  return sortByRendezvousHash(cheapest, request.promptKey)[0];
}

/**
 * Computes the cost of a stream on an engine: the prompt tokens for which it
 * waits, its own included, and its own prompt tokens once more for each stream
 * that waits for them. Failures, avoided domains and missing room add to it.
 */
export function computeEngineCost(
  engine: EngineView,
  request: EngineRequest,
): number {
  const promptTokens = request.promptTokens || UNKNOWN_PROMPT_TOKENS;
  const keptTokens = request.keptTokens.get(engine.instanceId) ?? 0;
  const prefillTokens = Math.max(0, promptTokens - keptTokens);
  let cost = engine.unreadTokens + (1 + engine.streams) * prefillTokens;
  cost += engine.failureScore * FAILURE_COST_PROMPTS * promptTokens;
  if (request.avoidedDomains.has(engine.failureDomain)) {
    cost += DOMAIN_COST_PROMPTS * promptTokens;
  }
  if (request.position?.isNear(engine.failureDomain) === false) {
    cost += REGION_COST_PROMPTS * promptTokens;
  }
  const isFull =
    engine.streams >= engine.slots ||
    engine.expectedTokens + request.expectedTokens > engine.memoryTokens;
  return isFull ? cost + NO_ROOM_COST_PROMPTS * promptTokens : cost;
}

/**
 * Chooses the engine that keeps the standby replica; undefined if no engine in
 * another failure domain has room without evicting running streams. Engines of
 * the primary's region come first, except in domains that are avoided: those
 * may be lost with it.
 *
 * @param primary The engine that runs the stream.
 */
export function chooseBackupEngine<V extends EngineView>(
  engines: Iterable<V>,
  primary: EngineView,
  request: EngineRequest,
): V | undefined {
  const candidates: V[] = [];
  for (const engine of engines) {
    if (engine.failureDomain === primary.failureDomain) continue;
    if (engine.failureScore > 0) continue;
    const filled = engine.expectedTokens + request.expectedTokens;
    if (filled > engine.memoryTokens * MAX_BACKUP_FILL) continue;
    candidates.push(engine);
  }
  const near = candidates.filter(
    ({failureDomain}) =>
      request.position?.regions.isSameRegion(
        primary.failureDomain,
        failureDomain,
      ) !== false && !request.avoidedDomains.has(failureDomain),
  );
  const hasRegions = request.position?.hasSeveralRegions === true;
  const preferred = hasRegions ? chooseEngine(near, request) : undefined;
  return preferred ?? chooseEngine(candidates, request);
}

/**
 * The cost of the cheapest home engine above which other engines are considered
 * as well, in prompts of the request's length. An idle home engine costs 1.
 */
const BUSY_COST_PROMPTS = 1.5;
/**
 * How many other engines are considered, chosen at random: in addition to busy
 * home engines, or if no home engine is usable. With 195 hosts and 174 engines,
 * streams take 5.8 s in the mean and 8.2 s at the 99th percentile. They take
 * 7.3 s and 15.3 s if hosts know nothing of each other's streams, and 5.8 s and
 * 8.1 s if they know everything (replayed load of 45 streams a second, prompts
 * of 8,200 tokens, three seeds).
 */
const REMOTE_ENGINES = {withHomeEngines: 3, alone: 4} as const;

/**
 * Decides how many engines other than the home engines are considered
 * (`home_groups.ts`): none while a home engine is idle.
 */
export function decideRemoteEngineCount(
  homeEngines: readonly EngineView[],
  request: EngineRequest,
): number {
  return decideSampleSize(homeEngines, request, BUSY_COST_PROMPTS);
}

/**
 * Decides how many engines of other regions are considered: none while an
 * engine of the own region is cheaper than an idle one elsewhere.
 *
 * @param nearEngines The engines of the own region that are considered.
 */
export function decideFarEngineCount(
  nearEngines: readonly EngineView[],
  request: EngineRequest,
): number {
  const maxCost = BUSY_COST_PROMPTS + REGION_COST_PROMPTS;
  return decideSampleSize(nearEngines, request, maxCost);
}

/** @param maxCost The cost up to which no others are needed, in prompts. */
function decideSampleSize(
  engines: readonly EngineView[],
  request: EngineRequest,
  maxCost: number,
): number {
  const promptTokens = request.promptTokens || UNKNOWN_PROMPT_TOKENS;
  let leastCost = Infinity;
  for (const engine of engines) {
    if (request.excluded.has(engine.instanceId)) continue;
    leastCost = Math.min(leastCost, computeEngineCost(engine, request));
  }
  if (leastCost === Infinity) return REMOTE_ENGINES.alone;
  const isBusy = leastCost > maxCost * promptTokens;
  return isBusy ? REMOTE_ENGINES.withHomeEngines : 0;
}
