/** How long an attempt may run beside a silent one. */
import {setImmediate as waitForTurn} from 'node:timers/promises';
import type {Clock} from '@irisdock/kernel';

/**
 * How long two attempts of one stream may run beside each other without an event
 * of either, in ms. An engine or a host that cannot serve a stream says so within
 * this time; one that reads a long prompt needs longer.
 */
const MAX_OVERLAP_MS = 250;
/** The time between two checks whether both engines are silent, in ms. */
const SILENCE_CHECK_MS = 50;

/** An attempt whose engine may be silent. */
interface WatchedAttempt {
  /** Whether its engine is suspected now. */
  readonly isSilent: boolean;
}

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

/** Waits until the engines of both attempts are silent. */
export async function waitBothSilent(
  clock: Clock,
  first: WatchedAttempt,
  second: WatchedAttempt,
  signal: AbortSignal,
): Promise<undefined> {
  while (!signal.aborted && !(first.isSilent && second.isSilent)) {
    await clock.wait(SILENCE_CHECK_MS, signal);
  }
}
