/** What follows from a lost attempt of a stream for its engine. */
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {ServingParts} from './serving_parts.js';
import type {AttemptResult} from './stream_attempt.js';

/** The longest wait for an engine's exit check, which takes a few ms. */
const MAX_EXIT_CHECK_WAIT_MS = 60;

/**
 * Tells other hosts that an engine accepted no connection, unless the fault is
 * this host's own network.
 */
export async function publishUnreached(
  {paths, endpoints}: Pick<ServingParts, 'endpoints' | 'paths'>,
  service: string,
  {instanceId}: EndpointRecord,
): Promise<void> {
  if (await paths.check(service)) return;
  endpoints.peers.usePublisher.publishLoss(instanceId);
}

/**
 * Checks whether the engine of a lost attempt exited. The stream waits for that
 * only if its next attempt must process the prompt again, which takes far
 * longer; a stream that resumes from a replica is not delayed.
 */
export async function checkEngineExit(
  {lostRuns}: Pick<ServingParts, 'lostRuns'>,
  {requestId, content, exchange}: AdmittedRequest,
  endpoint: EndpointRecord,
  result: AttemptResult,
  hasReplica: boolean,
): Promise<void> {
  if (result.kind !== 'lost' || !result.mayHaveRun) return;
  const {silence} = result;
  const wasSilent = silence !== undefined;
  const wasMute = silence?.isAnswering === false;
  const run = {requestId, content, endpoint, wasSilent, wasMute};
  // A silent engine was left for another one, which is ready.
  const isWaitUseful = !hasReplica && !wasSilent;
  const maxWaitMs = isWaitUseful ? MAX_EXIT_CHECK_WAIT_MS : 0;
  await lostRuns.record(run, maxWaitMs, exchange.signal);
}
