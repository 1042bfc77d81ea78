/**
 * A request has one driver at a time, and its newest driver runs last. Guards
 * against two drivers that write to the same record and engine.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {DriverLock} from '../src/answer/driver_lock.js';

const RUN_OPTIONS = {seed: 4711, numRuns: 200};

/** Waits for a number of microtask turns. */
async function runTurns(turns: number): Promise<void> {
  for (let turn = 0; turn < turns; turn++) await Promise.resolve();
}

/** A driver that holds the lock until it is stopped or 200 turns have passed. */
interface DriverPlan {
  /** Turns before it requests the lock. */
  readonly arrivesAfter: number;
  /** Turns from the stop signal to the release of the lock. */
  readonly releasesAfter: number;
}

interface Outcome {
  readonly maxHolders: number;
  readonly order: readonly number[];
  readonly unstopped: readonly number[];
}

async function runDrivers(plans: readonly DriverPlan[]): Promise<Outcome> {
  const lock = new DriverLock();
  const order: number[] = [];
  const unstopped: number[] = [];
  let holders = 0;
  let maxHolders = 0;
  const runOne = async (plan: DriverPlan, at: number): Promise<void> => {
    await runTurns(plan.arrivesAfter);
    await lock.acquire();
    const {signal} = lock;
    holders++;
    maxHolders = Math.max(maxHolders, holders);
    order.push(at);
    for (let turn = 0; turn < 200 && !signal.aborted; turn++) await runTurns(1);
    if (!signal.aborted) unstopped.push(at);
    await runTurns(plan.releasesAfter);
    holders--;
    lock.release();
  };
  await Promise.all(plans.map(runOne));
  assert.ok(lock.isFree);
  return {maxHolders, order, unstopped};
}

describe('DriverLock', () => {
  it('has one holder at a time, in order of arrival', async () => {
    const plan = fc.record({
      arrivesAfter: fc.nat({max: 20}),
      releasesAfter: fc.nat({max: 5}),
    });
    const plans = fc.array(plan, {minLength: 2, maxLength: 8});
    await fc.assert(
      fc.asyncProperty(plans, async (drivers) => {
        const sorted = [...drivers].sort(
          (a, b) => a.arrivesAfter - b.arrivesAfter,
        );
        const {maxHolders, order, unstopped} = await runDrivers(sorted);
        assert.equal(maxHolders, 1);
        assert.deepEqual(order, [...sorted.keys()]);
        assert.deepEqual(unstopped, [sorted.length - 1]);
      }),
      RUN_OPTIONS,
    );
  });

  it('has a waiter while one waits, and is free after the last', async () => {
    const lock = new DriverLock();
    const states: string[] = [];
    const addState = (): void => {
      const stopped = lock.signal.aborted ? 'stopped' : 'not stopped';
      const wanted = lock.hasWaiter ? 'wanted' : 'not wanted';
      states.push(lock.isFree ? 'free' : `${wanted}, ${stopped}`);
    };
    addState();
    await lock.acquire();
    addState();
    const second = lock.acquire();
    addState();
    lock.release();
    await second;
    addState();
    lock.release();
    addState();
    assert.deepEqual(states, [
      'free',
      'not wanted, not stopped',
      'wanted, stopped',
      'not wanted, not stopped',
      'free',
    ]);
  });
});
