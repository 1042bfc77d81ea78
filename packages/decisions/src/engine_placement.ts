/**
 * On which engine a stream runs, and on which one its standby copy is kept.
 *
 * An engine reads prompts one after another, in pieces between the tokens of
 * the streams that run there. So a new prompt waits for the prompts before it,
 * and everything that is there already waits for as long as the new prompt is
 * read. The engine is taken where both together are least. All of it is
 * counted in prompt tokens, so that the choice is the same whatever the speed
 * of the engines and the size of the prompts. docs/design/stream_placement.md.
 *
 * The gain, by a replayed load of one and a quarter streams an engine: 5.4 s from
 * request to end in the mean where a stream alone takes 4.9 s; 6.7 s with a fixed
 * cost of a stream and a preference for one engine of a prompt.
 *
 * Among engines that cost the same, the first in the prompt's own order is
 * taken, which all hosts find alike (rendezvous.ts). Engines that failed of
 * late are used only when others lack room. The copy goes to another failure
 * domain, as whole domains are lost at once.
 */

import {sortByRendezvousHash} from './rendezvous_hash.js';

/** An engine as one host sees it, with what other hosts told. */
export interface EngineView {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** Streams that run or wait there. */
  readonly streams: number;
  readonly slots: number;
  /** Prompt tokens that are still to be read there. */
  readonly unreadTokens: number;
  /** Tokens that its streams and the copies kept there will take in all. */
  readonly expectedTokens: number;
  readonly memoryTokens: number;
  /** Recent failures, fading; 0 for a sound one. */
  readonly failureScore: number;
}

/** What a stream asks of an engine. */
export interface EngineRequest {
  /** Tokens that the stream will take in memory. */
  readonly expectedTokens: number;
  /** Tokens of its prompt; 0 when that is not known. */
  readonly promptTokens: number;
  /** Engines that have failed this stream. */
  readonly excluded: ReadonlySet<string>;
  /** Failure domains that are used only when there is no other. */
  readonly avoidedDomains: ReadonlySet<string>;
  /** Names the prompt, for the order of preference; empty for none. */
  readonly promptKey: string;
  /** Tokens of the prompt that engines keep from an earlier run, by instance. */
  readonly keptTokens: ReadonlyMap<string, number>;
}

/** The size that a prompt of unknown size is taken for, in tokens. */
const UNKNOWN_PROMPT_TOKENS = 1000;
/**
 * What a failure of a moment ago costs, in prompts of the request's size. More
 * prompts than this wait at an engine only when a whole domain is lost.
 */
const FAILURE_COST_PROMPTS = 8;
/** What an avoided failure domain costs, in prompts; less than a failure. */
const DOMAIN_COST_PROMPTS = 4;
/**
 * No room in memory means waiting or pushing out another stream; in prompts,
 * more than a failure.
 */
const NO_ROOM_COST_PROMPTS = 20;
/** The part of the memory that copies may fill together with streams. */
const BACKUP_FILL = 0.8;

/** Chooses an engine; undefined when all are excluded. */
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
 * Gives what a stream costs at an engine: the prompt tokens that it waits for,
 * its own among them, and those of its own that each stream there waits for.
 */
export function computeEngineCost(
  engine: EngineView,
  request: EngineRequest,
): number {
  const promptTokens = request.promptTokens || UNKNOWN_PROMPT_TOKENS;
  const keptTokens = request.keptTokens.get(engine.instanceId) ?? 0;
  const readTokens = Math.max(0, promptTokens - keptTokens);
  let cost = engine.unreadTokens + (1 + engine.streams) * readTokens;
  cost += engine.failureScore * FAILURE_COST_PROMPTS * promptTokens;
  if (request.avoidedDomains.has(engine.failureDomain)) {
    cost += DOMAIN_COST_PROMPTS * promptTokens;
  }
  const isFull =
    engine.streams >= engine.slots ||
    engine.expectedTokens + request.expectedTokens > engine.memoryTokens;
  return isFull ? cost + NO_ROOM_COST_PROMPTS * promptTokens : cost;
}

/**
 * Chooses the engine that keeps the standby copy; undefined when none in
 * another failure domain has room without pushing out running work.
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
    if (filled > engine.memoryTokens * BACKUP_FILL) continue;
    candidates.push(engine);
  }
  return chooseEngine(candidates, request);
}

/**
 * From this cost on, in prompts of the request's size, engines beside the home
 * engines are looked at as well: a home engine on which nothing runs costs one.
 */
const FAR_COST_PROMPTS = 1.5;
/**
 * How many other engines are looked at, drawn at random, beside the home engines
 * and where there are none. With 195 hosts and 174 engines streams take 5.8 s in
 * the mean and 8.2 s for 99 in 100; 7.3 and 15.3 s when a host knows nothing of
 * the others' streams; 5.8 and 8.1 s when it knows all (replayed load of 45
 * streams a second, prompts of 8,200 tokens, three seeds).
 */
const FAR_ENGINES = {beside: 3, alone: 4} as const;

/** Decides how many engines beside the home engines are looked at. */
export function decideRemoteEngineCount(
  homeEngines: readonly EngineView[],
  request: EngineRequest,
): number {
  const promptTokens = request.promptTokens || UNKNOWN_PROMPT_TOKENS;
  let leastCost = Infinity;
  for (const engine of homeEngines) {
    if (request.excluded.has(engine.instanceId)) continue;
    leastCost = Math.min(leastCost, computeEngineCost(engine, request));
  }
  if (leastCost === Infinity) return FAR_ENGINES.alone;
  const isBusy = leastCost > FAR_COST_PROMPTS * promptTokens;
  return isBusy ? FAR_ENGINES.beside : 0;
}
