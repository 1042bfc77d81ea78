/** Requests the permit for one attempt of a stream. */
import type {SendAdmission} from './send_gate.js';
import type {ServingParts} from './serving_parts.js';
import type {AttemptPlan} from './stream_attempt.js';

/**
 * How long to wait for a permit of the engine that holds the KV cache, in ms.
 * Processing the prompt again on another engine takes longer.
 */
const MAX_REPLICA_WAIT_MS = 400;

/**
 * Requests the permit for an attempt. A stream whose caller has received part
 * of the answer goes before others. An attempt that starts from a KV cache
 * waits a while for the engine that holds it.
 */
export async function admitAttempt(
  {client, clock}: ServingParts,
  {endpoint, kvCacheSource}: AttemptPlan,
  isResumed: boolean,
  signal: AbortSignal,
): Promise<SendAdmission> {
  const priority = isResumed ? 'begun' : 'usual';
  const maxWaitMs = kvCacheSource === undefined ? 0 : MAX_REPLICA_WAIT_MS;
  const deadline = clock.getNow() + maxWaitMs;
  for (;;) {
    const permit = await client.admit(endpoint, priority);
    if (permit.kind === 'permit' || signal.aborted) return permit;
    const waitMs = Math.max(1, permit.waitMs);
    if (clock.getNow() + waitMs > deadline) return permit;
    await clock.wait(waitMs, signal);
  }
}
