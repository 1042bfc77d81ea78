/** What is done about the engine of a lost attempt. */
import {createGenerationNumber, type LossKind} from '@irisdock/decisions';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import type {EndpointDirectory} from '../services/endpoint_directory.js';
import type {RequestRecord} from './request_record.js';
import type {StreamMetrics} from './stream_metrics.js';

/** Losses after which the engine may still be running the generation. */
const LOSSES_TO_CANCEL: ReadonlySet<LossKind> = new Set<LossKind>([
  'gap',
  // An earlier order may still be in transit to the engine.
  'gone',
  'reset',
  'silent',
  'stalled',
]);
/** Losses that mean that the endpoint itself is unavailable. */
const ENDPOINT_LOSSES: ReadonlySet<LossKind> = new Set<LossKind>([
  'silent',
  'unreachable',
]);

/** Tells the directory of a loss that means that the endpoint is unavailable. */
export function reportLoss(
  directory: Pick<EndpointDirectory, 'reportLost'>,
  endpoint: EndpointRecord,
  loss: LossKind,
): void {
  if (ENDPOINT_LOSSES.has(loss)) directory.reportLost(endpoint, loss);
}

/** Cancels a lost generation that its engine may still be running. */
export function cancelLost(
  record: RequestRecord,
  metrics: StreamMetrics,
  endpoint: EndpointRecord,
  loss: LossKind,
): void {
  const {engine} = endpoint.clients;
  if (engine === undefined || !LOSSES_TO_CANCEL.has(loss)) return;
  const limit = createGenerationNumber(record.takeover, record.attempts + 1);
  void engine.cancel(record.request.id, limit).then((result) => {
    const isStall = loss === 'silent' || loss === 'stalled';
    if (isStall && result.isOk()) metrics.falseAlarms.inc();
  });
}
