/** Tests of how long a stream may be silent. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeSilenceLimits, type SilenceTargets} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const TARGETS = fc.record({
  targetGapMs: fc.integer({min: 250, max: 2000}),
  targetLatencyMs: fc.integer({min: 1500, max: 10_000}),
  usualGapMs: fc.integer({min: 5, max: 60}),
});

function createTargets(change: Partial<SilenceTargets> = {}): SilenceTargets {
  return {
    targetGapMs: 700,
    targetLatencyMs: 4500,
    usualGapMs: 40,
    ...change,
  };
}

/** The longest resumption on another engine in the logs of hosts, in ms. */
const RESUMPTION_MS = 110;

describe('the silence limits', () => {
  it('leave time to resume elsewhere within any target', () => {
    fc.assert(
      fc.property(TARGETS, (given) => {
        const limits = computeSilenceLimits(given);
        const {probeAfterMs, probeTimeoutMs, lostAfterMs} = limits;
        const detectedMs = probeAfterMs + probeTimeoutMs;
        assert.ok(detectedMs + RESUMPTION_MS <= given.targetGapMs * 1.11);
        assert.ok(lostAfterMs >= detectedMs);
        assert.ok(lostAfterMs <= given.targetGapMs);
        const {firstProbeAfterMs, probeIntervalMs} = limits;
        const secondProbeMs =
          firstProbeAfterMs + probeIntervalMs + probeTimeoutMs;
        assert.ok(secondProbeMs <= given.targetLatencyMs * 0.7);
      }),
      RUN_OPTIONS,
    );
  });

  it('exceed the gaps that are usual for an engine', () => {
    fc.assert(
      fc.property(
        TARGETS,
        fc.integer({min: 5, max: 900}),
        (given, usualGapMs) => {
          const limits = computeSilenceLimits({...given, usualGapMs});
          assert.ok(limits.probeAfterMs >= usualGapMs);
          assert.ok(limits.lostAfterMs >= 2 * usualGapMs);
        },
      ),
      RUN_OPTIONS,
    );
  });

  it('use the default target if no target gap is set', () => {
    assert.deepEqual(
      computeSilenceLimits(createTargets({targetGapMs: undefined})),
      computeSilenceLimits(createTargets()),
    );
  });

  it('are proportional to the targets', () => {
    const narrow = computeSilenceLimits(createTargets({targetGapMs: 350}));
    const wide = computeSilenceLimits(createTargets({targetGapMs: 1400}));
    assert.equal(wide.probeAfterMs, narrow.probeAfterMs * 4);
    assert.equal(wide.lostAfterMs, narrow.lostAfterMs * 4);
    const quick = computeSilenceLimits(createTargets({targetLatencyMs: 1500}));
    const slow = computeSilenceLimits(createTargets({targetLatencyMs: 9000}));
    assert.equal(slow.firstProbeAfterMs, quick.firstProbeAfterMs * 6);
  });
});
