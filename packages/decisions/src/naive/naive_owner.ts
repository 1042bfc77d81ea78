/** The naive way: whoever gets the request starts it. */
import type {OwnerDecision} from '../request_owner.js';

/** Always starts. */
export function decideOwnerNaively(): OwnerDecision {
  return 'start';
}
