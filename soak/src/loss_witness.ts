/**
 * Holds streams that callers resume after a loss of all hosts against the
 * promise that they go on while their software version serves: at least half as
 * often as new streams are served.
 */
import type {EndedAttempt} from './partition_player.js';

/** Whether one of the versions leaves, and what is left of it after the loss. */
export type LossKind =
  | 'both versions serve'
  /** Its endpoints are leaving before, during and after the loss. */
  | 'one version drains'
  /** Its endpoints ended, without entries, before the loss. */
  | 'one version is gone'
  /** Its endpoints were leaving before the loss, and are gone after it. */
  | 'one version leaves';

/** A loss of all hosts. */
export interface Loss {
  readonly kind: LossKind;
  readonly from: number;
  /** Until when streams that are sent count. */
  readonly until: number;
  /** The versions that served. */
  readonly serving: ReadonlySet<string>;
}

/** What became of the streams that callers sent after a loss. */
export interface LossReport {
  readonly kind: LossKind;
  readonly resumed: number;
  readonly resumedServed: number;
  readonly begun: number;
  readonly begunServed: number;
}

/** Fewer streams of a sort tell nothing. */
const LEAST_STREAMS = 8;
/** The least share of resumed streams that go on, in that of new ones. */
const MIN_SHARE = 0.5;

/**
 * Counts the streams that callers sent after a loss, each once whatever the
 * number of its attempts. A resumed one counts if its version served.
 */
export function createLossReport(
  loss: Loss,
  ended: readonly EndedAttempt[],
): LossReport {
  const counts = {resumed: 0, resumedServed: 0, begun: 0, begunServed: 0};
  for (const {version, isServed} of listStreams(loss, ended)) {
    const served = isServed ? 1 : 0;
    if (version === undefined) {
      counts.begun++;
      counts.begunServed += served;
    } else if (loss.serving.has(version)) {
      counts.resumed++;
      counts.resumedServed += served;
    }
  }
  return {kind: loss.kind, ...counts};
}

/** Finds the broken promise, if any. */
export function findLossFault({
  resumed,
  resumedServed,
  begun,
  begunServed,
}: LossReport): string | undefined {
  if (Math.min(resumed, begun) < LEAST_STREAMS) return undefined;
  const least = (MIN_SHARE * begunServed * resumed) / begun;
  if (resumedServed >= least) return undefined;
  return `after all hosts were lost ${resumedServed} of ${resumed} resumed streams went on, and ${begunServed} of ${begun} new ones`;
}

/** Lists the first attempts after a loss, with whether any was served. */
function listStreams(
  {from, until}: Loss,
  ended: readonly EndedAttempt[],
): EndedAttempt[] {
  const streams = new Map<string, EndedAttempt>();
  for (const attempt of ended) {
    const {startedAt, request, isStream, isServed} = attempt;
    if (!isStream || startedAt < from || startedAt > until) continue;
    const first = streams.get(request) ?? attempt;
    streams.set(request, {...first, isServed: first.isServed || isServed});
  }
  return [...streams.values()];
}
