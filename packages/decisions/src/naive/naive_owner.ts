/**
 * Baseline that `decideOwner` is compared with: the host that receives a
 * request starts it.
 */
import type {OwnerDecision} from '../request_owner.js';

/** Always starts the request. */
export function decideOwnerNaively(): OwnerDecision {
  return 'start';
}
