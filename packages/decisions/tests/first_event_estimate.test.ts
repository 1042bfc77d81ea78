/** Refusals of new streams whose first events would be late. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  computeReturnMs,
  findLateRefusal,
  PrefillRate,
  type EngineView,
  type LateRefusalState,
} from '@irisdock/decisions';

const TARGET_MS = 4500;

function createEngine(change: Partial<EngineView> = {}): EngineView {
  return {
    instanceId: 'e1',
    failureDomain: 'one',
    streams: 10,
    slots: 16,
    unreadTokens: 40_000,
    expectedTokens: 0,
    memoryTokens: 200_000,
    failureScore: 0,
    ...change,
  };
}

function findRefusal(
  engines: readonly EngineView[],
  change: Partial<LateRefusalState> = {},
): number | undefined {
  return findLateRefusal({
    engines,
    request: {
      expectedTokens: 6000,
      promptTokens: 5000,
      excluded: new Set(),
      avoidedDomains: new Set(),
      promptKey: 'p',
      keptTokens: new Map(),
    },
    tokensPerMs: 5,
    elapsedMs: 0,
    targetMs: TARGET_MS,
    maxTargets: 1.25,
    ...change,
  });
}

describe('a new stream', () => {
  it('is refused if its first event is expected clearly late', () => {
    assert.equal(findRefusal([createEngine()]), 9000);
    assert.equal(findRefusal([createEngine({streams: 16})]), Infinity);
  });

  const admitted: readonly [string, Partial<EngineView>][] = [
    ['an engine serves it near its target', {unreadTokens: 22_000}],
    ['half of the places are free', {streams: 8}],
  ];
  for (const [name, change] of admitted) {
    it(`is admitted if ${name}`, () => {
      const engines = [createEngine(), createEngine(change)];
      const all = name.startsWith('half') ? engines.slice(1) : engines;
      assert.equal(findRefusal(all), undefined);
    });
  }

  // Guards against refusals since streams wait at one engine of several.
  it('is admitted if only one engine is full', () => {
    const full = createEngine({streams: 9, memoryTokens: 50_000});
    const failed = createEngine({streams: 4, failureScore: 0.3});
    assert.equal(findRefusal([full, failed, failed]), undefined);
    assert.equal(findRefusal([full, full, failed]), Infinity);
  });

  // Guards against refusals while an engine that failed has room again.
  it('is admitted if an idle engine has failed a while ago', () => {
    const busy = createEngine({streams: 13});
    const idle = {streams: 0, unreadTokens: 0};
    const findBeside = (change: Partial<EngineView>): number | undefined =>
      findRefusal([busy, busy, busy, createEngine({...idle, ...change})]);
    assert.equal(findBeside({failureScore: 0.3}), undefined);
    assert.equal(findBeside({failureScore: 0.9}), 9000);
    assert.equal(findBeside({failureScore: 0.3, streams: 1}), 9000);
  });

  it('is admitted while the rate or the prompt is not known', () => {
    const engines = [createEngine()];
    assert.equal(findRefusal(engines, {tokensPerMs: undefined}), undefined);
    assert.equal(findRefusal([]), undefined);
  });
});

describe('PrefillRate', () => {
  it('is the median, which a silent engine does not change', () => {
    const rate = new PrefillRate();
    for (let count = 0; count < 4; count++) rate.record(5000, 1000);
    assert.equal(rate.getTokensPerMs(), undefined);
    rate.record(5000, 60_000);
    assert.equal(rate.getTokensPerMs(), 5);
  });
});

describe('computeReturnMs', () => {
  it('is bounded and spread', () => {
    assert.equal(computeReturnMs(Infinity, TARGET_MS, 0), 5000);
    assert.equal(computeReturnMs(TARGET_MS, TARGET_MS, 0), 2250);
    assert.ok(computeReturnMs(TARGET_MS, TARGET_MS, 0.9) > 3000);
    assert.equal(computeReturnMs(0, TARGET_MS, 0), 500);
  });
});
