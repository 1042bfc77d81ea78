/**
 * Baseline that `decideLossResponse` is compared with: always runs the request
 * again.
 */
import type {LossResponse} from '../loss_response.js';

/** Always runs the request again. */
export function decideNaively(): LossResponse {
  return 'continue';
}
