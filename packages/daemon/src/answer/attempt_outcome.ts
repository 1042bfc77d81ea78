/** What an attempt's result means for its request and for its endpoint. */
import type {EndpointOutcome} from '../endpoint/endpoint_record.js';
import type {AttemptResult} from './answer_attempt.js';

/**
 * Tells whether the engine may have run the order. Only a refusal or a failed
 * connection attempt rules that out.
 */
export function hasPossiblyRun(result: AttemptResult): boolean {
  if (result.kind === 'stopped') return result.sent;
  if (result.kind === 'ended') return true;
  return result.loss !== 'refused' && result.loss !== 'unreachable';
}

/** Returns the outcome to record for the endpoint's health. */
export function getEndpointOutcome(result: AttemptResult): EndpointOutcome {
  if (result.kind === 'ended') return 'done';
  if (result.kind === 'stopped') return 'neutral';
  const {loss} = result;
  if (loss === 'refused' || loss === 'superseded') return 'neutral';
  return loss === 'stalled' ? 'stalled' : 'lost';
}
