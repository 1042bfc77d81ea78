/** What an attempt's result means for its request and for its endpoint. */
import type {LossKind} from '@irisdock/decisions';
import type {EndpointErrorKind} from '@irisdock/endpoints';
import type {EndpointOutcome} from '../endpoint/endpoint_record.js';
import type {AttemptResult} from './answer_attempt.js';

/** The kind of loss for each error kind; all others count as a reset. */
const LOSSES: Partial<Record<EndpointErrorKind, LossKind>> = {
  endpoint_unreachable: 'unreachable',
  endpoint_full: 'refused',
  endpoint_superseded: 'superseded',
  endpoint_unknown_stream: 'gone',
};

/** Returns the kind of loss for an error in place of a stream. */
export function getOpenLoss(error: EndpointErrorKind): LossKind {
  return LOSSES[error] ?? 'reset';
}

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
