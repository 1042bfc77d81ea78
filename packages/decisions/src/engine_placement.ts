/**
 * On which engine a stream runs, and on which one its standby copy is kept.
 *
 * Each prompt has an order of engines that all hosts find alike
 * (rendezvous.ts). The first in it that is not much busier than the least
 * busy one is taken, so that the prompt is found again wherever its caller
 * comes from. docs/design/stream_placement.md.
 *
 * The first token waits for the prompts that are read before it, so prompt
 * tokens not yet read cost most. Each running stream slows the others a
 * little. Engines that failed of late are used only when others lack room.
 * The copy goes to another failure domain, as whole domains are lost at once.
 */

import {sortByPreference} from './rendezvous.js';

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
  readonly tokens: number;
  /** Engines that have failed this stream. */
  readonly excluded: ReadonlySet<string>;
  /** Failure domains that are used only when there is no other. */
  readonly avoidedDomains: ReadonlySet<string>;
  /** Names the prompt, for the order of preference; empty for none. */
  readonly promptKey: string;
  /** Whether an engine probably keeps the prompt from an earlier run. */
  readonly isPromptKept: boolean;
}

/**
 * One more running stream counts like this many unread tokens: at 8 tokens
 * a ms some 60 ms, about what one stream adds to the others over its run.
 */
const STREAM_COST_TOKENS = 500;
/** A failure of a moment ago outweighs a whole queue of prompts. */
const FAILURE_COST_TOKENS = 40_000;
/** What an avoided failure domain costs; less than a failure. */
const DOMAIN_COST_TOKENS = 20_000;
/** No room in memory means waiting or pushing out another stream. */
const NO_ROOM_COST_TOKENS = 100_000;
/**
 * How much busier than the least busy one a preferred engine may be: about
 * one prompt that is read before, which costs a second of the 4.5 to a first
 * event. A prompt that is kept saves its own tokens on top.
 */
const PREFERENCE_TOKENS = 9000;
/** The part of the memory that copies may fill together with streams. */
const BACKUP_FILL = 0.8;

/** Chooses an engine; undefined when all are excluded. */
export function chooseEngine<V extends EngineView>(
  engines: Iterable<V>,
  request: EngineRequest,
): V | undefined {
  const candidates: V[] = [];
  let leastCost = Infinity;
  for (const engine of engines) {
    if (request.excluded.has(engine.instanceId)) continue;
    candidates.push(engine);
    leastCost = Math.min(leastCost, computeEngineCost(engine, request));
  }
  const saved = request.isPromptKept ? request.tokens : 0;
  const mostCost = leastCost + PREFERENCE_TOKENS + saved;
  for (const engine of sortByPreference(candidates, request.promptKey)) {
    if (computeEngineCost(engine, request) <= mostCost) return engine;
  }
  return undefined;
}

/** Gives what a stream costs at an engine, in unread prompt tokens. */
export function computeEngineCost(
  engine: EngineView,
  request: EngineRequest,
): number {
  let cost = engine.unreadTokens + engine.streams * STREAM_COST_TOKENS;
  cost += engine.failureScore * FAILURE_COST_TOKENS;
  if (request.avoidedDomains.has(engine.failureDomain)) {
    cost += DOMAIN_COST_TOKENS;
  }
  const isFull =
    engine.streams >= engine.slots ||
    engine.expectedTokens + request.tokens > engine.memoryTokens;
  return isFull ? cost + NO_ROOM_COST_TOKENS : cost;
}

/**
 * Chooses the engine that keeps the standby copy; undefined when none in
 * another failure domain has room without pushing out running work.
 *
 * @param primary The engine that runs the stream.
 */
export function chooseBackup<V extends EngineView>(
  engines: Iterable<V>,
  primary: EngineView,
  request: EngineRequest,
): V | undefined {
  const candidates: V[] = [];
  for (const engine of engines) {
    if (engine.failureDomain === primary.failureDomain) continue;
    if (engine.failureScore > 0) continue;
    const filled = engine.expectedTokens + request.tokens;
    if (filled > engine.memoryTokens * BACKUP_FILL) continue;
    candidates.push(engine);
  }
  return chooseEngine(candidates, request);
}
