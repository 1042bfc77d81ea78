/**
 * Estimates when a new stream would have its first event, and refuses one whose
 * first event would come clearly after its target. Such a stream is worth
 * little to its caller, and its prompt delays all others; refused at once, the
 * caller returns when it can be served in time.
 *
 * The estimate is the unread tokens of an engine, the stream's own included,
 * at the rate at which engines were seen to prefill. The rate is observed, not
 * declared, as decode steps of other streams slow the prefill down.
 */
import {
  chooseEngine,
  type EngineRequest,
  type EngineView,
} from './engine_placement.js';

/** How many observations the rate is computed from. */
const MAX_SAMPLES = 21;
/** With fewer observations the rate is unknown, and nothing is refused. */
const MIN_SAMPLES = 5;
/**
 * The share of the places of known engines that must be taken for a refusal.
 * The others are only sampled, so this is above one half, below which callers
 * regard a refusal as unfounded.
 */
const MIN_TAKEN_SHARE = 0.55;
/**
 * The failure score above which an engine is not expected to serve the stream
 * unless it answers a probe: that of a loss 0.9 s ago. Engines of a lost domain
 * are gone for 1.2 s. With 26 engines that lose a domain every 6.5 s (three
 * seeds), 236 of 2,533 streams are late with it, 259 of 2,517 with any score,
 * and 228 of 2,535 with none.
 */
const MAX_FAILURE_SCORE = 0.5;
/** The part of the target that is kept free of the return, for its prefill. */
const RETURN_FRACTION = 0.5;
/** The relative spread of the return, so that callers don't return together. */
const RETURN_SPREAD = 0.5;
/** The shortest and the longest time until the return, in ms. */
const MIN_RETURN_MS = 500;
const MAX_RETURN_MS = 5000;

/** Observes how fast the engines of a service prefill. */
export class PrefillRate {
  /** The last rates, in tokens per ms. */
  private readonly rates: number[] = [];

  /**
   * Records a first event.
   *
   * @param tokens Unread tokens on the engine when the stream was sent there,
   *     the stream's own included.
   * @param ms The time from then to the first event.
   */
  record(tokens: number, ms: number): void {
    if (tokens <= 0 || ms <= 0) return;
    this.rates.push(tokens / ms);
    if (this.rates.length > MAX_SAMPLES) this.rates.shift();
  }

  /** Returns the median rate in tokens per ms; undefined if unknown. */
  getTokensPerMs(): number | undefined {
    const {rates} = this;
    if (rates.length < MIN_SAMPLES) return undefined;
    const sorted = [...rates].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
  }
}

/** The state in which a new stream is admitted or refused. */
export interface LateRefusalState<V extends EngineView = EngineView> {
  /** The engines whose load this host knows. */
  readonly engines: readonly V[];
  readonly request: EngineRequest;
  /** The observed rate of prefill; undefined if unknown. */
  readonly tokensPerMs: number | undefined;
  /** The time since the request arrived, in ms. */
  readonly elapsedMs: number;
  /** The target for the first event, in ms. */
  readonly targetMs: number;
  /** How many times its target the first event may take. */
  readonly maxTargets: number;
}

/**
 * Estimates the time to the first event at an engine, in ms; Infinity if the
 * stream would wait there for a place.
 */
export function computeFirstEventMs(
  engine: EngineView,
  request: EngineRequest,
  tokensPerMs: number,
): number {
  if (engine.streams >= countPlaces(engine, request)) return Infinity;
  const keptTokens = request.keptTokens.get(engine.instanceId) ?? 0;
  const prefillTokens = Math.max(0, request.promptTokens - keptTokens);
  return (engine.unreadTokens + prefillTokens) / tokensPerMs;
}

/**
 * Returns the expected time to the first event, in ms, if the stream is to be
 * refused for it; undefined if it is admitted. It is admitted while the rate is
 * not known, and while many places are free.
 */
export function findLateRefusal(state: LateRefusalState): number | undefined {
  const {engines, request, tokensPerMs, elapsedMs, targetMs} = state;
  if (tokensPerMs === undefined || request.promptTokens === 0) return undefined;
  const usable = engines.filter(
    ({instanceId}) => !request.excluded.has(instanceId),
  );
  if (!isCrowded(usable, request)) return undefined;
  const chosen = chooseEngine(usable, request);
  let earliestMs = Infinity;
  for (const engine of usable) {
    const isFailed = engine.failureScore > 0;
    if (isFailed && !(engine === chosen && isReturning(engine))) continue;
    const ms = computeFirstEventMs(engine, request, tokensPerMs);
    earliestMs = Math.min(earliestMs, ms);
  }
  const expectedMs = elapsedMs + earliestMs;
  return expectedMs > state.maxTargets * targetMs ? expectedMs : undefined;
}

/**
 * Finds the engine to probe before a stream is refused: of the idle engines that
 * failed and could serve it in time, the one whose failure score is least. It
 * may serve again, which only a probe shows. With 26 engines that lose a domain
 * every 6.5 s (three seeds), 44 of 860 refusals leave out such an engine that
 * serves, and none of 786 with the probe; 230 streams are late for 236.
 */
export function findReturningEngine<V extends EngineView>(
  state: LateRefusalState<V>,
): V | undefined {
  const {engines, request, tokensPerMs, elapsedMs, targetMs} = state;
  if (tokensPerMs === undefined) return undefined;
  let found: V | undefined;
  for (const engine of engines) {
    const {instanceId, failureScore, streams} = engine;
    if (failureScore === 0 || streams > 0) continue;
    if (request.excluded.has(instanceId)) continue;
    if (found !== undefined && found.failureScore <= failureScore) continue;
    const ms = elapsedMs + computeFirstEventMs(engine, request, tokensPerMs);
    if (ms <= state.maxTargets * targetMs) found = engine;
  }
  return found;
}

/**
 * Whether a failed engine is expected to serve streams again. One that is not
 * idle is left out: its streams may be those for which it is silent.
 */
function isReturning({failureScore, streams}: EngineView): boolean {
  return failureScore <= MAX_FAILURE_SCORE && streams === 0;
}

/**
 * Computes when the caller of a refused stream is to return, in ms: when the
 * prompts that wait now are read, spread out.
 *
 * @param randomFraction A random number from 0 to 1.
 */
export function computeReturnMs(
  expectedMs: number,
  targetMs: number,
  randomFraction: number,
): number {
  const excessMs = expectedMs - RETURN_FRACTION * targetMs;
  const ms = Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, excessMs));
  return ms * (1 + RETURN_SPREAD * randomFraction);
}

/** Counts the streams like the requested one that an engine can run. */
function countPlaces(
  {slots, memoryTokens}: EngineView,
  {expectedTokens}: EngineRequest,
): number {
  const inMemory = Math.floor(memoryTokens / Math.max(1, expectedTokens));
  return Math.min(slots, inMemory);
}

/**
 * Whether more than half of the slots are taken. Slots of an engine without a
 * place, for which it has no memory, count as taken, and so do streams that
 * wait there.
 */
function isCrowded(
  engines: readonly EngineView[],
  request: EngineRequest,
): boolean {
  let taken = 0;
  let slots = 0;
  for (const engine of engines) {
    const {streams} = engine;
    const isFull = streams >= countPlaces(engine, request);
    taken += isFull ? Math.max(streams, engine.slots) : streams;
    slots += engine.slots;
  }
  return slots > 0 && taken >= MIN_TAKEN_SHARE * slots;
}
