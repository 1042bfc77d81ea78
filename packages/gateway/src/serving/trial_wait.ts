/**
 * Waits until it is known whether an attempt that runs beside the stream's own
 * one, its trial, continues the stream.
 */
import type {Clock} from '@irisdock/kernel';
import {waitOverlap} from './attempt_overlap.js';
import type {AttemptRun} from './attempt_run.js';

/** The time between two checks whether an engine is silent, in ms. */
const SILENCE_CHECK_MS = 50;

/** The attempt beside which a trial runs. */
export interface TrialOwner {
  /**
   * When its engine ends as announced, in ms of the clock; undefined if it is
   * only silent.
   */
  readonly endsAt: number | undefined;
  /** Whether its engine is suspected now. */
  readonly isSilent: boolean;
}

/** An attempt beside the stream's own one. */
export type Trial = Pick<
  AttemptRun,
  'endSilent' | 'heldSilence' | 'waitForAnswer' | 'waitForContinuation'
>;

/** A trial and what the wait for it depends on. */
export interface TrialWait {
  readonly owner: TrialOwner;
  readonly trial: Trial;
  readonly clock: Clock;
  /** Whether another attempt is allowed and has an engine. */
  readonly hasAlternative: () => boolean;
}

/**
 * Waits until it is known whether the trial continues the stream; undefined if
 * it is not in time.
 */
export async function waitForTrial(
  wait: TrialWait,
  signal: AbortSignal,
): Promise<boolean | undefined> {
  const {owner, trial, clock} = wait;
  if (owner.endsAt === undefined) {
    const overlap = waitOverlap(clock, signal).then(() => undefined);
    const isContinued = trial.waitForContinuation();
    const result = await Promise.race([isContinued, overlap]);
    // The end may have been announced meanwhile.
    if (result !== undefined || !isEnding(owner)) return result;
  }
  return waitForEnd(wait, signal);
}

/** Whether the end of an engine is announced. */
export function isEnding(owner: TrialOwner | undefined): boolean {
  return owner?.endsAt !== undefined;
}

/**
 * Waits for the trial until the engine ends, or is silent as that of the trial
 * is. The attempt there goes on, so the trial is never ahead of it: its first
 * events show that it can continue.
 */
async function waitForEnd(
  wait: TrialWait,
  signal: AbortSignal,
): Promise<boolean | undefined> {
  const {owner, trial, clock} = wait;
  const {endsAt = 0} = owner;
  const leftMs = Math.max(0, endsAt - clock.getNow());
  const controller = new AbortController();
  const waitSignal = AbortSignal.any([signal, controller.signal]);
  const end = Promise.all([
    clock.wait(leftMs, waitSignal),
    waitOverlap(clock, waitSignal),
  ]).then(() => undefined);
  const silence = watchSilence(wait, waitSignal);
  try {
    return await Promise.race([trial.waitForAnswer(), end, silence]);
  } finally {
    controller.abort();
  }
}

/**
 * Waits until the engines of both attempts are silent. A trial that alone is
 * silent would take the stream over at the announced end, so it is left if
 * another one can be tried before that.
 *
 * @returns False if the trial was left.
 */
async function watchSilence(
  {owner, trial, clock, hasAlternative}: TrialWait,
  signal: AbortSignal,
): Promise<false | undefined> {
  while (!signal.aborted) {
    const {heldSilence} = trial;
    if (heldSilence !== undefined && owner.isSilent) return undefined;
    if (heldSilence !== undefined && hasAlternative()) {
      trial.endSilent(heldSilence);
      return false;
    }
    await clock.wait(SILENCE_CHECK_MS, signal);
  }
  return undefined;
}
