/**
 * Computes how long a stream may be silent before its endpoint is probed, and
 * before the stream counts as lost. The limits follow from the operator's
 * targets for the gap between events and for the time to the first event, and
 * from the gaps that the engine usually has. Limits that are too long delay the
 * resumption of lost streams; limits that are too short move streams without
 * need.
 */

/** The inputs of the limits, in ms. */
export interface SilenceTargets {
  /** The operator's target for the longest gap between events. */
  readonly targetGapMs: number | undefined;
  /** The operator's target for the time to the first event. */
  readonly targetLatencyMs: number;
  /** The usual recent gap between events of the engine. */
  readonly usualGapMs: number;
}

/** The limits, in ms. */
export interface SilenceLimits {
  /** The time without an event until the endpoint is probed. */
  readonly probeAfterMs: number;
  /** The time for the endpoint to answer a probe. */
  readonly probeTimeoutMs: number;
  /** The time without an event until a stream is lost despite probe answers. */
  readonly lostAfterMs: number;
  /** The wait for the first event until the endpoint is probed. */
  readonly firstProbeAfterMs: number;
  /** The interval of probes before the first event. */
  readonly probeIntervalMs: number;
}

/** The target gap if the operator sets none, in ms. */
const DEFAULT_GAP_MS = 700;
/**
 * Fractions of the target gap. Silence until the probe, the probe's timeout and
 * the resumption elsewhere (20 to 110 ms) fit into the target, with a third of
 * it to spare.
 */
const PROBE_AFTER_FRACTION = 0.28;
const PROBE_TIMEOUT_FRACTION = 0.21;
const LOST_AFTER_FRACTION = 0.8;
/** The shortest probe timeout, in ms: a busy host sees answers this late. */
const MIN_PROBE_TIMEOUT_MS = 80;
/** Multiples of the usual gap that are normal variation, not a loss. */
const PROBE_AFTER_GAPS = 1.5;
const LOST_AFTER_GAPS = 3;
/**
 * Fractions of the target for the first event. Half of the first events arrive
 * within a third of it; a loss detected then leaves time for another prefill.
 * Probes aren't more frequent, as most of them need a new connection.
 */
const FIRST_PROBE_FRACTION = 0.27;
const PROBE_INTERVAL_FRACTION = 0.13;

/** Computes the limits of a stream from an engine. */
export function computeSilenceLimits(targets: SilenceTargets): SilenceLimits {
  const {targetGapMs = DEFAULT_GAP_MS, targetLatencyMs, usualGapMs} = targets;
  const probeAfterMs = Math.max(
    PROBE_AFTER_FRACTION * targetGapMs,
    PROBE_AFTER_GAPS * usualGapMs,
  );
  const probeTimeoutMs = Math.max(
    PROBE_TIMEOUT_FRACTION * targetGapMs,
    MIN_PROBE_TIMEOUT_MS,
  );
  const lostAfterMs = Math.max(
    LOST_AFTER_FRACTION * targetGapMs,
    LOST_AFTER_GAPS * usualGapMs,
    probeAfterMs + probeTimeoutMs,
  );
  return {
    probeAfterMs,
    probeTimeoutMs,
    lostAfterMs,
    firstProbeAfterMs: FIRST_PROBE_FRACTION * targetLatencyMs,
    probeIntervalMs: PROBE_INTERVAL_FRACTION * targetLatencyMs,
  };
}
