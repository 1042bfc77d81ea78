/** Creates the orders by which an answer runs on engines. */
import {createGenerationNumber} from '@irisdock/decisions';
import type {StreamOrder} from '@irisdock/endpoints';
import type {RequestRecord} from './request_record.js';

/** Added to a continued request's priority; above any declared priority. */
const RESUMING_PRIORITY = 100;

/** Creates the order of the next attempt, and counts the attempt. */
export function createOrder(
  record: RequestRecord,
  mode: StreamOrder['mode'],
): StreamOrder {
  const {request} = record;
  record.attempts++;
  return {
    mode,
    request: request.id,
    generation: createGenerationNumber(record.takeover, record.attempts),
    prompt: request.prompt,
    received: mode === 'attach' ? '' : (record.text ?? ''),
    offset: record.nextOffset,
    maxTokens: request.maxTokens,
    priority: request.priority + (mode === 'start' ? 0 : RESUMING_PRIORITY),
    model: request.spec.modelVersion,
    ...(request.adapter === undefined ? {} : {adapter: request.adapter}),
  };
}
