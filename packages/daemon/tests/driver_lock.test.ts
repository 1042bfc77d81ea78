/** One driver at a time, and the newest at the end. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {DriverLock} from '../src/answer/driver_lock.js';

const RUN_OPTIONS = {seed: 4711, numRuns: 200};

/** Lets so many turns of pending callbacks run. */
async function runTurns(turns: number): Promise<void> {
  for (let turn = 0; turn < turns; turn++) await Promise.resolve();
}

/** A driver: holds the lock until it is stopped, or some turns long. */
interface Play {
  /** Turns after which it asks for the lock. */
  readonly comesAfter: number;
  /** Turns that it takes to end once it is stopped. */
  readonly endsIn: number;
}

interface Outcome {
  readonly mostAtOnce: number;
  readonly order: readonly number[];
  readonly unstopped: readonly number[];
}

async function runPlays(plays: readonly Play[]): Promise<Outcome> {
  const lock = new DriverLock();
  const order: number[] = [];
  const unstopped: number[] = [];
  let holders = 0;
  let mostAtOnce = 0;
  const runOne = async (play: Play, at: number): Promise<void> => {
    await runTurns(play.comesAfter);
    await lock.acquire();
    const {signal} = lock;
    holders++;
    mostAtOnce = Math.max(mostAtOnce, holders);
    order.push(at);
    for (let turn = 0; turn < 200 && !signal.aborted; turn++) await runTurns(1);
    if (!signal.aborted) unstopped.push(at);
    await runTurns(play.endsIn);
    holders--;
    lock.release();
  };
  await Promise.all(plays.map(runOne));
  assert.ok(lock.isFree);
  return {mostAtOnce, order, unstopped};
}

describe('DriverLock', () => {
  it('has one holder at a time, in the order of their coming', async () => {
    const play = fc.record({
      comesAfter: fc.nat({max: 20}),
      endsIn: fc.nat({max: 5}),
    });
    const plays = fc.array(play, {minLength: 2, maxLength: 8});
    await fc.assert(
      fc.asyncProperty(plays, async (given) => {
        const sorted = [...given].sort((a, b) => a.comesAfter - b.comesAfter);
        const {mostAtOnce, order, unstopped} = await runPlays(sorted);
        assert.equal(mostAtOnce, 1);
        assert.deepEqual(order, [...sorted.keys()]);
        assert.deepEqual(unstopped, [sorted.length - 1]);
      }),
      RUN_OPTIONS,
    );
  });

  it('is wanted while one waits, and free once nobody is left', async () => {
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
