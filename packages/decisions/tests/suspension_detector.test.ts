/** Whether a machine was suspended, by the clocks of other hosts. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {SuspensionDetector} from '@irisdock/decisions';

/** Messages come so often from each host, in ms. */
const BEAT_MS = 300;
const HOSTS = ['one', 'two', 'three'];

/** A machine whose steady clock may stand still, and hosts that go on. */
class Machine {
  readonly watch = new SuspensionDetector();
  /** The time of the world, in ms. */
  now = 0;
  suspendedMs = 0;
  wallStepMs = 0;
  /** What the watch has told in all, in ms. */
  told = 0;

  /** Takes a message of a host that was under way for a while. */
  accept(host: string, delayMs: number, incarnation = 1): void {
    this.told += this.watch.accept({
      host,
      incarnation,
      theirMs: this.now - delayMs,
      ownMs: this.now - this.suspendedMs,
      wallMs: this.now + this.wallStepMs,
    });
  }

  run(ms: number, hosts: readonly string[] = HOSTS): void {
    for (const until = this.now + ms; this.now < until; this.now += BEAT_MS) {
      for (const host of hosts) this.accept(host, 5);
    }
  }

  stop(ms: number): void {
    this.now += ms;
    this.suspendedMs += ms;
  }
}

describe('a watch for suspensions', () => {
  for (const ms of [1000, 6000, 30_000]) {
    it(`tells of ${ms} ms by several hosts`, () => {
      const machine = new Machine();
      machine.run(5000);
      machine.wallStepMs = -20_000;
      machine.stop(ms);
      machine.run(1000);
      assert.ok(Math.abs(machine.told - ms) < 400, `${machine.told}`);
    });

    it(`tells of ${ms} ms by one host and the time of day`, () => {
      const machine = new Machine();
      machine.run(5000, ['one']);
      machine.stop(ms);
      machine.run(1000, ['one']);
      assert.ok(Math.abs(machine.told - ms) < 400, `${machine.told}`);
    });
  }

  it('reads the messages that came during the suspension first', () => {
    const machine = new Machine();
    machine.run(5000, ['one']);
    machine.stop(6000);
    for (let late = 6000; late > 0; late -= BEAT_MS) {
      machine.accept('one', late);
    }
    machine.run(1000, ['one']);
    assert.ok(Math.abs(machine.told - 6000) < 400, `${machine.told}`);
  });

  it('tells of a second suspension too, and of each once', () => {
    const machine = new Machine();
    for (let round = 1; round <= 3; round++) {
      machine.run(5000);
      machine.stop(4000);
      machine.run(5000);
      assert.ok(Math.abs(machine.told - round * 4000) < 400 * round);
    }
  });

  it('takes no other life of a host for a suspension', () => {
    const machine = new Machine();
    machine.run(3000, ['one']);
    machine.wallStepMs = 50_000;
    machine.accept('one', -90_000, 2);
    assert.equal(machine.told, 0);
  });

  it('believes no single host', () => {
    const machine = new Machine();
    machine.run(3000);
    machine.accept('one', -90_000);
    machine.run(3000, ['two', 'three']);
    assert.equal(machine.told, 0);
  });

  it('is not misled by messages that were late for a while', () => {
    const machine = new Machine();
    for (let beat = 0; beat < 100; beat++) {
      for (const host of HOSTS) machine.accept(host, 3000);
      machine.now += BEAT_MS;
    }
    machine.run(3000);
    assert.equal(machine.told, 0);
  });

  for (const {what, delayMs, stepMs} of [
    {what: 'delays and drift', delayMs: 5000, stepMs: 0},
    {what: 'jumps of the time of day', delayMs: 300, stepMs: 60_000},
  ]) {
    it(`is not misled by ${what}`, () => {
      const message = fc.record({
        host: fc.constantFrom(...HOSTS),
        delayMs: fc.integer({min: 0, max: delayMs}),
        pauseMs: fc.integer({min: 0, max: 2000}),
        wallStepMs: fc.integer({min: -stepMs, max: stepMs}),
      });
      fc.assert(
        fc.property(fc.array(message, {maxLength: 200}), (messages) => {
          const machine = new Machine();
          for (const one of messages) {
            machine.now += one.pauseMs;
            machine.wallStepMs = one.wallStepMs;
            machine.accept(one.host, one.delayMs - machine.now / 10_000);
          }
          assert.equal(machine.told, 0);
        }),
        {seed: 30, numRuns: 300},
      );
    });
  }
});
