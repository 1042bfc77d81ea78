/**
 * Decides what to do when the stream from an engine is lost: attach again to
 * the generation, which the engine may still run, continue on another engine
 * from the last token passed on, or give up. See docs/design/resumption.md.
 */

/** How a stream was lost. */
export type LossKind =
  /** The stream skipped a token or ended before the last one. */
  | 'gap'
  /** The engine doesn't know the generation. */
  | 'gone'
  /** The engine had no capacity; nothing ran. */
  | 'refused'
  /** The connection was closed early. */
  | 'reset'
  /** No event arrived, and the engine didn't answer a probe. */
  | 'silent'
  /** No event arrived, though the engine answers probes. */
  | 'stalled'
  /** No connection could be made. */
  | 'unreachable'
  /** Another host took the request over. */
  | 'superseded';

/** The state of a request whose stream was lost. */
export interface LossState {
  readonly loss: LossKind;
  /** Whether the order may have reached the engine. */
  readonly mayHaveRun: boolean;
  /** Whether the request may be run again or continued elsewhere. */
  readonly mayContinue: boolean;
  /** Attempts to attach to this engine since the last token passed on. */
  readonly attachAttempts: number;
  /** Counted losses since the last token passed on. */
  readonly losses: number;
  /** Whether the retry budget allows another attempt. */
  readonly hasRetryBudget: boolean;
}

/** What to do after a loss. */
export type LossResponse =
  'abandon' | 'attach' | 'continue' | 'give_up_not_run' | 'give_up_unknown';

/** Attempts to attach to one engine without a new token. */
const MAX_ATTACHES = 2;
/** The same for an answer that nothing else may continue. */
const MAX_ONLY_ATTACHES = 7;
/** The first pause before an attempt to attach beyond `MAX_ATTACHES`, in ms. */
const ATTACH_PAUSE_MS = 100;
/** Counted losses without a new token. */
const MAX_LOSSES = 8;

/**
 * Tells whether a loss counts against the retry budget and `MAX_LOSSES`. An
 * engine that couldn't be reached did no work, so a started answer moves on to
 * another one without being counted, limited by time only. For a request that
 * never ran, such a loss counts.
 */
export function isLossCounted(loss: LossKind, mayHaveRun: boolean): boolean {
  return loss !== 'unreachable' || !mayHaveRun;
}

/** Decides what to do after a loss. */
export function decideLossResponse(state: LossState): LossResponse {
  if (state.loss === 'superseded') return 'abandon';
  if (isWorthAttaching(state)) return 'attach';
  if (state.mayHaveRun && !state.mayContinue) return 'give_up_unknown';
  if (state.losses >= MAX_LOSSES || !state.hasRetryBudget) {
    return state.mayHaveRun ? 'give_up_unknown' : 'give_up_not_run';
  }
  return 'continue';
}

/**
 * Returns the pause before an attempt to attach, in ms. The first attempts
 * follow at once; the pauses of all others together last some seconds, for which
 * an engine keeps a generation that nothing reads.
 *
 * @param attempt The number of the attempt since the last token, from 1.
 */
export function computeAttachPauseMs(attempt: number): number {
  if (attempt <= MAX_ATTACHES) return 0;
  return ATTACH_PAUSE_MS * 2 ** (attempt - MAX_ATTACHES - 1);
}

function isWorthAttaching(state: LossState): boolean {
  const maxAttaches = state.mayContinue ? MAX_ATTACHES : MAX_ONLY_ATTACHES;
  if (!state.mayHaveRun || state.attachAttempts >= maxAttaches) return false;
  return state.loss === 'reset' || state.loss === 'gap';
}
