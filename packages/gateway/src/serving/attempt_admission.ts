/** Asks for the permit of one attempt of a stream. */
import type {SendAdmission} from './send_gate.js';
import type {ServingParts} from './serving_parts.js';
import type {AttemptPlan} from './stream_attempt.js';

/**
 * How long a limit of the engine that keeps the memory is waited for, in ms: to
 * read a prompt anew on another takes longer.
 */
const HOLDER_MS = 400;

/**
 * Asks for the permit. Who has a part of the answer goes before others, and waits
 * a while for the engine that keeps its memory.
 */
export async function admitAttempt(
  {client, clock}: ServingParts,
  {endpoint, memorySource}: AttemptPlan,
  isBegun: boolean,
  signal: AbortSignal,
): Promise<SendAdmission> {
  const use = isBegun ? 'begun' : 'usual';
  const mostMs = memorySource === undefined ? 0 : HOLDER_MS;
  const until = clock.getNow() + mostMs;
  for (;;) {
    const permit = await client.admit(endpoint, use);
    if (permit.kind === 'permit' || signal.aborted) return permit;
    const waitMs = Math.max(1, permit.waitMs);
    if (clock.getNow() + waitMs > until) return permit;
    await clock.wait(waitMs, signal);
  }
}
