/**
 * How long a stream may be silent before its engine is asked, and before it is
 * taken as lost. All of it follows from the pauses and the time to a first
 * event at which the operator aims, and from the pauses that the engine makes
 * when it is well: a stream that is taken as lost too late goes on late, one
 * that is taken as lost too early costs a move for nothing.
 */

/** What the limits are made from, in ms. */
export interface SilenceTargets {
  /** The longest pause between events that the operator aims at. */
  readonly targetGapMs: number | undefined;
  /** The time to a first event that the operator aims at. */
  readonly targetLatencyMs: number;
  /** The pause that the engine makes between events of late. */
  readonly usualGapMs: number;
}

/** The limits, in ms. */
export interface SilenceLimits {
  /** Silence between events before the endpoint is asked. */
  readonly probeAfterMs: number;
  /** How long the endpoint may take to answer. */
  readonly probeTimeoutMs: number;
  /** Silence after which a stream is lost though its endpoint answers. */
  readonly lostAfterMs: number;
  /** The wait for a first event before the endpoint is asked. */
  readonly firstProbeAfterMs: number;
  /** The time between questions before the first event. */
  readonly probeIntervalMs: number;
}

/** The aim at pauses where the operator declares none, in ms. */
const DEFAULT_GAP_MS = 700;
/**
 * Parts of the aim at pauses. Asking, the wait for an answer and going on
 * elsewhere (20 to 110 ms) fit into the aim, with a third of it to spare.
 */
const ASK_AFTER_PART = 0.28;
const ANSWER_PART = 0.21;
const LOST_AFTER_PART = 0.8;
/** A host that is busy itself sees answers this much late, in ms. */
const LEAST_ANSWER_MS = 80;
/** Pauses vary; those up to this often the usual one are no sign of a loss. */
const ASK_AFTER_USUAL = 1.5;
const LOST_AFTER_USUAL = 3;
/**
 * Parts of the aim at the first event. Half of the first events come within a
 * third of it; a loss that is noticed then leaves time to read a prompt anew.
 * Each question costs, and mostly a connection too.
 */
const FIRST_ASK_PART = 0.27;
const ASK_EVERY_PART = 0.13;

/** Gives the limits of a stream at an engine. */
export function computeSilenceLimits(aims: SilenceTargets): SilenceLimits {
  const {targetGapMs = DEFAULT_GAP_MS, targetLatencyMs, usualGapMs} = aims;
  const askAfterMs = Math.max(
    ASK_AFTER_PART * targetGapMs,
    ASK_AFTER_USUAL * usualGapMs,
  );
  const answerMs = Math.max(ANSWER_PART * targetGapMs, LEAST_ANSWER_MS);
  const lostAfterMs = Math.max(
    LOST_AFTER_PART * targetGapMs,
    LOST_AFTER_USUAL * usualGapMs,
    askAfterMs + answerMs,
  );
  return {
    probeAfterMs: askAfterMs,
    probeTimeoutMs: answerMs,
    lostAfterMs,
    firstProbeAfterMs: FIRST_ASK_PART * targetLatencyMs,
    probeIntervalMs: ASK_EVERY_PART * targetLatencyMs,
  };
}
