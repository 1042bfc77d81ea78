/**
 * What to do when a stream is lost: attach again to the generation that its
 * engine may still run, go on elsewhere from the tokens passed on, or give up
 * at once. docs/design/resumption.md.
 */

/** How a stream was lost. */
export type LossKind =
  /** A token or the end before the last token was missing. */
  | 'gap'
  /** The engine says that it runs no such generation. */
  | 'gone'
  /** The engine had no room; nothing ran. */
  | 'refused'
  /** The connection ended. */
  | 'reset'
  /** Silence, and no answer to a probe. */
  | 'silent'
  /** Silence, though the engine answers. */
  | 'stalled'
  /** No connection could be made. */
  | 'unreachable'
  /** Another host took the request over. */
  | 'superseded';

/** Where the request stands. */
export interface LossState {
  readonly loss: LossKind;
  /** Whether the order may have reached the engine. */
  readonly mayHaveRun: boolean;
  /** Whether the request may be run again or continued elsewhere. */
  readonly mayContinue: boolean;
  /** Attaches to this engine since the last token passed on. */
  readonly attachAttempts: number;
  /** Losses that count since the last token passed on. */
  readonly losses: number;
  /** Whether the retry budget has room. */
  readonly hasRetryBudget: boolean;
}

/** What to do next. */
export type LossResponse =
  'abandon' | 'attach' | 'continue' | 'give_up_not_run' | 'give_up_unknown';

const MAX_ATTACHES = 2;
const MAX_LOSSES = 8;

/**
 * Tells whether a loss counts against the retry budget and the most losses.
 * An engine that could not be reached took nothing, so an answer under way
 * goes on from it freely, bounded in time; a request that never ran does not.
 */
export function isLossCounted(loss: LossKind, mayHaveRun: boolean): boolean {
  return loss !== 'unreachable' || !mayHaveRun;
}

/** Decides what follows a loss. */
export function decideLossResponse(state: LossState): LossResponse {
  if (state.loss === 'superseded') return 'abandon';
  if (isWorthAttaching(state)) return 'attach';
  if (state.mayHaveRun && !state.mayContinue) return 'give_up_unknown';
  if (state.losses >= MAX_LOSSES || !state.hasRetryBudget) {
    return state.mayHaveRun ? 'give_up_unknown' : 'give_up_not_run';
  }
  return 'continue';
}

function isWorthAttaching(state: LossState): boolean {
  if (!state.mayHaveRun || state.attachAttempts >= MAX_ATTACHES) return false;
  return state.loss === 'reset' || state.loss === 'gap';
}
