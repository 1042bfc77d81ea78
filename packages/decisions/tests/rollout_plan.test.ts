/** The phases of roll-outs, and what a bad version gets in them. */
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

describe('the next phase of a roll-out', () => {
  it('is the trial once a host has taken charge of it', () => {
    assert.equal(decideNextPhase(createView({phase: 'announced'})), 'trial');
  });

  it('goes back whenever the version is found bad before the end', () => {
    for (const phase of ['trial', 'moving'] as const) {
      const view = createView({phase, verdict: 'bad', oldRunning: 0});
      assert.equal(decideNextPhase(view), 'rolled-back');
    }
  });

  it('stays what it is after the end', () => {
    for (const phase of ['completed', 'rolled-back'] as const) {
      const view = createView({phase, verdict: 'bad'});
      assert.equal(decideNextPhase(view), phase);
    }
  });

  it('moves no sooner than the bound holds to the end, sound or not', () => {
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

  it('never moves without any new endpoint or any trial', () => {
    const over = {elapsedMs: 60_000, verdict: 'sound'} as const;
    assert.equal(
      decideNextPhase(createView({...over, newEndpoints: 0})),
      'trial',
    );
    assert.equal(
      decideNextPhase(createView({...over, trialSends: 0})),
      'trial',
    );
  });

  it('ends when all hosts say that nothing runs on old endpoints', () => {
    const moving = {phase: 'moving', verdict: 'sound'} as const;
    assert.equal(decideNextPhase(createView(moving)), 'moving');
    const busy = createView({...moving, oldRunning: 1});
    assert.equal(decideNextPhase(busy), 'moving');
    const idle = createView({...moving, oldRunning: 0});
    assert.equal(decideNextPhase(idle), 'completed');
  });
});

describe('what a bad version gets that shows nothing before the end', () => {
  it('stays within the bound at any load, time and number of hosts', () => {
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

/** Plays a roll-out of even load; the phase reaches hosts with a delay. */
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
    const room = computeTrialQuota(BOUNDS, host.requests, hosts);
    const isTrial = !isMoved && host.trials + 1 <= room;
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
  it('are few, and two at least where there are two', () => {
    assert.equal(countTrialEndpoints(BOUNDS, 1), 1);
    assert.equal(countTrialEndpoints(BOUNDS, 4), 2);
    assert.equal(countTrialEndpoints(BOUNDS, 70), 3);
    assert.equal(countTrialEndpoints(BOUNDS, 1000), 4);
  });
});
