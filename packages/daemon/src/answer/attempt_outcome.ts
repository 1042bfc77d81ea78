/** What the end of a leg says of its request and of its endpoint. */
import type {EndpointOutcome} from '../endpoint/endpoint_record.js';
import type {AttemptResult} from './answer_attempt.js';

/** Anything but a refusal or a connection never made may have reached it. */
export function hasPossiblyRun(result: AttemptResult): boolean {
  if (result.kind === 'stopped') return result.sent;
  if (result.kind === 'ended') return true;
  return result.loss !== 'refused' && result.loss !== 'unreachable';
}

/** Gives what a leg says of its endpoint. */
export function getEndpointOutcome(result: AttemptResult): EndpointOutcome {
  if (result.kind === 'ended') return 'done';
  if (result.kind === 'stopped') return 'neutral';
  const {loss} = result;
  if (loss === 'refused' || loss === 'superseded') return 'neutral';
  return loss === 'stalled' ? 'stalled' : 'lost';
}
