/**
 * Engines that failed lately and have answered a probe since. An estimate leaves
 * out failed engines that are not idle, so the first stream that is sent to such
 * an engine would close it to all others while its other slots are free. For as
 * long as it takes to show a first event, the engine is therefore estimated like
 * a sound one, unless it fails again.
 */
import type {EngineRequest, EngineView} from './engine_placement.js';
import {
  computeFirstEventMs,
  type LateRefusalState,
} from './first_event_estimate.js';

/**
 * How long an answer to a probe counts, in ms: the time that a prompt of 5,000
 * tokens takes to its first event at 5 tokens per ms.
 */
const ANSWER_TTL_MS = 1000;

/** An engine that has answered a probe. */
interface AnsweringEngine {
  readonly answeredAt: number;
  /** The last known failure score, which rises only by a further failure. */
  failureScore: number;
  /** Streams that this host has sent there since the answer. */
  sent: number;
}

/** Keeps the engines that have answered probes of one host. */
export class AnsweringEngines {
  private readonly engines = new Map<string, AnsweringEngine>();

  /**
   * Records that an idle engine has answered a probe. An earlier answer that
   * still counts is kept, as streams that arrive together share a probe.
   *
   * @param now The time in ms, on the same clock as in `takePlace`.
   */
  record(engine: EngineView, now: number): void {
    if (this.findAnswer(engine, now) !== undefined) return;
    const {instanceId, failureScore} = engine;
    this.engines.set(instanceId, {answeredAt: now, failureScore, sent: 0});
  }

  /**
   * Takes a place for a new stream at the engine with the earliest first event;
   * undefined if none is in time.
   *
   * @param now The time in ms.
   */
  takePlace<V extends EngineView>(
    state: LateRefusalState<V>,
    now: number,
  ): V | undefined {
    const {engines, request, tokensPerMs, elapsedMs, targetMs} = state;
    if (tokensPerMs === undefined) return undefined;
    let earliestMs = state.maxTargets * targetMs - elapsedMs;
    let found: V | undefined;
    let foundAnswer: AnsweringEngine | undefined;
    for (const engine of engines) {
      const answer = this.findAnswer(engine, now);
      if (answer === undefined) continue;
      if (request.excluded.has(engine.instanceId)) continue;
      const loaded = addSent(engine, answer.sent, request);
      const ms = computeFirstEventMs(loaded, request, tokensPerMs);
      if (ms > earliestMs) continue;
      earliestMs = ms;
      found = engine;
      foundAnswer = answer;
    }
    if (foundAnswer !== undefined) foundAnswer.sent++;
    return found;
  }

  /** Finds the answer of an engine; drops it if it does not count any more. */
  private findAnswer(
    {instanceId, failureScore}: EngineView,
    now: number,
  ): AnsweringEngine | undefined {
    const answer = this.engines.get(instanceId);
    if (answer === undefined) return undefined;
    const isOld = now - answer.answeredAt > ANSWER_TTL_MS;
    if (isOld || failureScore > answer.failureScore) {
      this.engines.delete(instanceId);
      return undefined;
    }
    answer.failureScore = failureScore;
    return answer;
  }
}

/**
 * Adds the sent streams that the known load does not contain yet: a stream is
 * counted there only once it has its permit.
 */
function addSent(
  engine: EngineView,
  sent: number,
  {promptTokens}: EngineRequest,
): EngineView {
  const missing = Math.max(0, sent - engine.streams);
  const {instanceId, failureDomain, slots, memoryTokens} = engine;
  const {expectedTokens, failureScore} = engine;
  return {
    instanceId,
    failureDomain,
    slots,
    memoryTokens,
    expectedTokens,
    failureScore,
    streams: engine.streams + missing,
    unreadTokens: engine.unreadTokens + missing * promptTokens,
  };
}
