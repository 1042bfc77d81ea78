/** Tests of rollout phases and of the requests that a bad version gets. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  computeTrialQuota,
  decideNextPhase,
  countTrialEndpoints,
  type RolloutView,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const BOUNDS = {share: 0.1, slack: 50};

function createView(change: Partial<RolloutView>): RolloutView {
  return {
    phase: 'trial',
    verdict: 'open',
    bounds: BOUNDS,
    elapsedMs: 5000,
    durationMs: 12_000,
    requests: 600,
    trialSends: 24,
    newEndpoints: 4,
    oldRunning: undefined,
    ...change,
  };
}

describe('the next phase of a rollout', () => {
  it('is the trial once a host coordinates it', () => {
    assert.equal(decideNextPhase(createView({phase: 'announced'})), 'trial');
  });

  it('is rolled-back whenever the version is found bad', () => {
    for (const phase of ['trial', 'moving'] as const) {
      const view = createView({phase, verdict: 'bad', oldRunning: 0});
      assert.equal(decideNextPhase(view), 'rolled-back');
    }
  });

  it('does not change after the end', () => {
    for (const phase of ['completed', 'rolled-back'] as const) {
      const view = createView({phase, verdict: 'bad'});
      assert.equal(decideNextPhase(view), phase);
    }
  });

  it('is moving only when the bound holds until the end', () => {
    const early = createView({verdict: 'sound'});
    assert.equal(decideNextPhase(early), 'trial');
    const late = createView({
      verdict: 'sound',
      elapsedMs: 11_500,
      requests: 1400,
      trialSends: 60,
    });
    assert.equal(decideNextPhase(late), 'moving');
  });

  it('stays the trial without new endpoints or trial requests', () => {
    const late = {elapsedMs: 60_000, verdict: 'sound'} as const;
    assert.equal(
      decideNextPhase(createView({...late, newEndpoints: 0})),
      'trial',
    );
    assert.equal(
      decideNextPhase(createView({...late, trialSends: 0})),
      'trial',
    );
  });

  it('is completed once all hosts report old endpoints as idle', () => {
    const moving = {phase: 'moving', verdict: 'sound'} as const;
    assert.equal(decideNextPhase(createView(moving)), 'moving');
    const busy = createView({...moving, oldRunning: 1});
    assert.equal(decideNextPhase(busy), 'moving');
    const idle = createView({...moving, oldRunning: 0});
    assert.equal(decideNextPhase(idle), 'completed');
  });
});

describe('the exposure to a bad version that looks sound', () => {
  it('stays within the bound at any load, duration and number of hosts', () => {
    const loads = fc.record({
      perSecond: fc.integer({min: 1, max: 1000}),
      seconds: fc.integer({min: 5, max: 60}),
      hosts: fc.integer({min: 1, max: 350}),
      delayMs: fc.constantFrom(0, 150, 600),
    });
    fc.assert(
      fc.property(loads, ({perSecond, seconds, hosts, delayMs}) => {
        const {sent, total} = runLoad(perSecond, seconds, hosts, delayMs);
        assert.ok(sent <= BOUNDS.share * total + BOUNDS.slack);
      }),
      RUN_OPTIONS,
    );
  });
});

/** Simulates a rollout at constant load; hosts learn the phase with a delay. */
function runLoad(
  perSecond: number,
  seconds: number,
  hosts: number,
  delayMs: number,
): {sent: number; total: number} {
  const own = Array.from({length: hosts}, () => ({requests: 0, trials: 0}));
  const total = perSecond * seconds;
  const durationMs = seconds * 1000;
  let movedAt = Infinity;
  let sent = 0;
  for (let request = 0; request < total; request++) {
    const now = (request * 1000) / perSecond;
    const host = own[request % hosts];
    if (host === undefined) break;
    host.requests++;
    const isMoved = now >= movedAt;
    const quota = computeTrialQuota(BOUNDS, host.requests, hosts);
    const isTrial = !isMoved && host.trials + 1 <= quota;
    if (isTrial) host.trials++;
    if (isTrial || isMoved) sent++;
    if (movedAt !== Infinity) continue;
    const view = createView({
      verdict: 'sound',
      elapsedMs: now,
      durationMs,
      requests: request + 1,
      trialSends: sent,
    });
    if (decideNextPhase(view) === 'moving') movedAt = now + delayMs;
  }
  return {sent, total};
}

describe('the endpoints of a trial', () => {
  it('are few, but at least two if there are two', () => {
    assert.equal(countTrialEndpoints(BOUNDS, 1), 1);
    assert.equal(countTrialEndpoints(BOUNDS, 4), 2);
    assert.equal(countTrialEndpoints(BOUNDS, 70), 3);
    assert.equal(countTrialEndpoints(BOUNDS, 1000), 4);
  });
});
