import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {
  RunningStopwatch,
  RunningTimeout,
  RunningTimer,
  SystemClock,
} from '@irisdock/kernel';

const TIMER_MS = 30;
const STALL_MS = 25;

/** A clock that counts who watches it, and whose stalls tests set. */
class WatchedClock extends SystemClock {
  watchers = 0;
  stalledMs = 0;

  override watchStalls(): () => void {
    this.watchers++;
    return () => {
      this.watchers--;
    };
  }

  override getStalledMs(): number {
    return this.stalledMs;
  }
}

/** Waits until a timer fires; returns the time that this took, in ms. */
async function runTimer(clock: WatchedClock, ms: number): Promise<number> {
  const startedAt = performance.now();
  await new Promise<void>((resolve) => {
    new RunningTimer(clock, ms, resolve);
  });
  return performance.now() - startedAt;
}

describe('a timer of running time', () => {
  it('is not due before its time', async () => {
    const clock = new WatchedClock();
    assert.ok((await runTimer(clock, TIMER_MS)) >= TIMER_MS);
    assert.equal(clock.watchers, 0);
  });

  it('leaves out the stalls of its process', async () => {
    const clock = new WatchedClock();
    const fired = runTimer(clock, TIMER_MS);
    clock.stalledMs = STALL_MS;
    assert.ok((await fired) >= TIMER_MS + STALL_MS);
  });

  it('waits twice as long at most on a host that always stands still', async () => {
    const clock = new WatchedClock();
    const stopwatch = new RunningStopwatch(clock);
    clock.stalledMs = 1e6;
    await wait(TIMER_MS);
    assert.ok(stopwatch.getElapsedMs() >= TIMER_MS / 2 - 1);
    const fired = runTimer(clock, TIMER_MS);
    clock.stalledMs = 2e6;
    await fired;
  });

  it('does not fire once it is closed, and watches no longer', async () => {
    const clock = new WatchedClock();
    let count = 0;
    const timer = new RunningTimer(clock, TIMER_MS, () => count++);
    assert.equal(clock.watchers, 1);
    timer.close();
    await wait(3 * TIMER_MS);
    assert.equal(count, 0);
    assert.equal(clock.watchers, 0);
  });

  it('aborts the signal of a timeout', async () => {
    const timeout = new RunningTimeout(new SystemClock(), TIMER_MS);
    await new Promise((resolve) => {
      timeout.signal.addEventListener('abort', resolve);
    });
    assert.equal(timeout.signal.aborted, true);
  });
});
