/** How long an attempt may run beside a silent one. */
import {setImmediate as waitForTurn} from 'node:timers/promises';
import type {Clock} from '@irisdock/kernel';

/**
 * How long two attempts of one stream may run beside each other without an event
 * of either, in ms. An engine or a host that cannot serve a stream says so within
 * this time; one that reads a long prompt needs longer.
 */
const MAX_OVERLAP_MS = 250;

/**
 * Waits until the overlap of two attempts is over. After a stall of this process
 * timers come before sockets, so what has arrived is read first.
 */
export async function waitOverlap(
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  await clock.wait(MAX_OVERLAP_MS, signal);
  await waitForTurn();
}
