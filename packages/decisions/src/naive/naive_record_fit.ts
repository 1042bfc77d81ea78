/** The naive way to take an answer up again: by its offset alone. */
import type {FitState} from '../record_fit.js';

/** Takes any kept answer for the caller's, as the offset is there. */
export function isOffsetFit(state: FitState): boolean {
  return state.fromOffset >= 0;
}
