/** The naive way after a loss: start the whole answer over, every time. */
import type {LossResponse} from '../loss_response.js';

/** Always begins again. */
export function decideNaively(): LossResponse {
  return 'continue';
}
