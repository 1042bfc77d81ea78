/** Baseline for `record_fit.ts`: decides to resume by the offset alone. */
import type {FitState} from '../record_fit.js';

/** Accepts any kept answer that contains the offset. */
export function isOffsetFit(state: FitState): boolean {
  return state.fromOffset >= 0;
}
