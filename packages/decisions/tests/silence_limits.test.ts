/** How long a stream may be silent. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeSilenceLimits, type SilenceTargets} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const aims = fc.record({
  targetGapMs: fc.integer({min: 250, max: 2000}),
  targetLatencyMs: fc.integer({min: 1500, max: 10_000}),
  usualGapMs: fc.integer({min: 5, max: 60}),
});

function createAims(change: Partial<SilenceTargets> = {}): SilenceTargets {
  return {
    targetGapMs: 700,
    targetLatencyMs: 4500,
    usualGapMs: 40,
    ...change,
  };
}

/** What going on elsewhere takes at most, by the logs of hosts, in ms. */
const GO_ON_MS = 110;

describe('the limits of silence', () => {
  it('leave time to go on within the aim, at any aim', () => {
    fc.assert(
      fc.property(aims, (given) => {
        const limits = computeSilenceLimits(given);
        const {
          probeAfterMs: askAfterMs,
          probeTimeoutMs: answerMs,
          lostAfterMs,
        } = limits;
        const noticedMs = askAfterMs + answerMs;
        assert.ok(noticedMs + GO_ON_MS <= given.targetGapMs * 1.11);
        assert.ok(lostAfterMs >= noticedMs);
        assert.ok(lostAfterMs <= given.targetGapMs);
        const {firstProbeAfterMs: firstAskMs, probeIntervalMs: askEveryMs} =
          limits;
        const twiceAskedMs = firstAskMs + askEveryMs + answerMs;
        assert.ok(twiceAskedMs <= given.targetLatencyMs * 0.7);
      }),
      RUN_OPTIONS,
    );
  });

  it('do not fire in pauses that are usual at an engine', () => {
    fc.assert(
      fc.property(aims, fc.integer({min: 5, max: 900}), (given, usualGapMs) => {
        const limits = computeSilenceLimits({...given, usualGapMs});
        assert.ok(limits.probeAfterMs >= usualGapMs);
        assert.ok(limits.lostAfterMs >= 2 * usualGapMs);
      }),
      RUN_OPTIONS,
    );
  });

  it('are those of the usual aim where no aim at pauses is declared', () => {
    assert.deepEqual(
      computeSilenceLimits(createAims({targetGapMs: undefined})),
      computeSilenceLimits(createAims()),
    );
  });

  it('rise and fall with the aims', () => {
    const narrow = computeSilenceLimits(createAims({targetGapMs: 350}));
    const wide = computeSilenceLimits(createAims({targetGapMs: 1400}));
    assert.equal(wide.probeAfterMs, narrow.probeAfterMs * 4);
    assert.equal(wide.lostAfterMs, narrow.lostAfterMs * 4);
    const quick = computeSilenceLimits(createAims({targetLatencyMs: 1500}));
    const slow = computeSilenceLimits(createAims({targetLatencyMs: 9000}));
    assert.equal(slow.firstProbeAfterMs, quick.firstProbeAfterMs * 6);
  });
});
