/** Tests of detecting suspensions of a machine by the clocks of other hosts. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {SuspensionDetector} from '@irisdock/decisions';

/** The interval of messages from each host, in ms. */
const MESSAGE_INTERVAL_MS = 300;
const HOSTS = ['one', 'two', 'three'];

/** A machine that may be suspended, and hosts that keep running. */
class Machine {
  readonly detector = new SuspensionDetector();
  /** The true time, in ms. */
  now = 0;
  suspendedMs = 0;
  wallStepMs = 0;
  /** The sum of the detected suspensions, in ms. */
  detectedMs = 0;

  /** Accepts a message that a host sent `delayMs` ago. */
  accept(host: string, delayMs: number, incarnation = 1): void {
    this.detectedMs += this.detector.accept({
      host,
      incarnation,
      theirMs: this.now - delayMs,
      ownMs: this.now - this.suspendedMs,
      wallMs: this.now + this.wallStepMs,
    });
  }

  run(ms: number, hosts: readonly string[] = HOSTS): void {
    for (
      const until = this.now + ms;
      this.now < until;
      this.now += MESSAGE_INTERVAL_MS
    ) {
      for (const host of hosts) this.accept(host, 5);
    }
  }

  stop(ms: number): void {
    this.now += ms;
    this.suspendedMs += ms;
  }
}

describe('SuspensionDetector', () => {
  for (const ms of [1000, 6000, 30_000]) {
    it(`detects ${ms} ms by the clocks of several hosts`, () => {
      const machine = new Machine();
      machine.run(5000);
      machine.wallStepMs = -20_000;
      machine.stop(ms);
      machine.run(1000);
      assert.ok(
        Math.abs(machine.detectedMs - ms) < 400,
        `${machine.detectedMs}`,
      );
    });

    it(`detects ${ms} ms by one host and the wall clock`, () => {
      const machine = new Machine();
      machine.run(5000, ['one']);
      machine.stop(ms);
      machine.run(1000, ['one']);
      assert.ok(
        Math.abs(machine.detectedMs - ms) < 400,
        `${machine.detectedMs}`,
      );
    });
  }

  it('copes with queued messages from the time of the suspension', () => {
    const machine = new Machine();
    machine.run(5000, ['one']);
    machine.stop(6000);
    for (let late = 6000; late > 0; late -= MESSAGE_INTERVAL_MS) {
      machine.accept('one', late);
    }
    machine.run(1000, ['one']);
    assert.ok(
      Math.abs(machine.detectedMs - 6000) < 400,
      `${machine.detectedMs}`,
    );
  });

  it('reports each of several suspensions once', () => {
    const machine = new Machine();
    for (let round = 1; round <= 3; round++) {
      machine.run(5000);
      machine.stop(4000);
      machine.run(5000);
      assert.ok(Math.abs(machine.detectedMs - round * 4000) < 400 * round);
    }
  });

  it('ignores the clock of a new incarnation', () => {
    const machine = new Machine();
    machine.run(3000, ['one']);
    machine.wallStepMs = 50_000;
    machine.accept('one', -90_000, 2);
    assert.equal(machine.detectedMs, 0);
  });

  it('does not trust a single host', () => {
    const machine = new Machine();
    machine.run(3000);
    machine.accept('one', -90_000);
    machine.run(3000, ['two', 'three']);
    assert.equal(machine.detectedMs, 0);
  });

  it('is not misled by messages that were late for a while', () => {
    const machine = new Machine();
    for (let round = 0; round < 100; round++) {
      for (const host of HOSTS) machine.accept(host, 3000);
      machine.now += MESSAGE_INTERVAL_MS;
    }
    machine.run(3000);
    assert.equal(machine.detectedMs, 0);
  });

  for (const {what, delayMs, stepMs} of [
    {what: 'delays and drift', delayMs: 5000, stepMs: 0},
    {what: 'steps of the wall clock', delayMs: 300, stepMs: 60_000},
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
          assert.equal(machine.detectedMs, 0);
        }),
        {seed: 30, numRuns: 300},
      );
    });
  }
});
