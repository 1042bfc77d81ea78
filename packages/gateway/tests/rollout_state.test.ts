/** Which engines of a rollout continue streams that began at their version. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {RolloutPhase} from '@irisdock/decisions';
import {RolloutState, type RolloutSide} from '../src/serving/rollout_state.js';

const PHASES: readonly RolloutPhase[] = [
  'announced',
  'trial',
  'moving',
  'completed',
  'rolled-back',
];

/** Lists the phases in which begun streams continue at a side's engines. */
function listOpenPhases(side: RolloutSide): RolloutPhase[] {
  return PHASES.filter((phase) => {
    const order = {service: 'engines', version: 'v2', durationMs: 1000};
    const state = new RolloutState(order, 1, 0);
    state.setPhase(phase);
    // Usual traffic may be open as well.
    const isOpen = state.isOpen(side, true, true);
    return isOpen || state.isOpenToBegunStreams(side);
  });
}

describe('begun streams beside a rollout', () => {
  it('continue at the old version until it is completed', () => {
    const phases = listOpenPhases('old');
    assert.deepEqual(phases, ['announced', 'trial', 'moving', 'rolled-back']);
  });

  it('continue at the new version unless it is rolled back', () => {
    const phases = listOpenPhases('new');
    assert.deepEqual(phases, ['trial', 'moving', 'completed']);
  });

  it('continue at versions that nobody ordered', () => {
    assert.deepEqual(listOpenPhases('other'), PHASES);
  });
});
