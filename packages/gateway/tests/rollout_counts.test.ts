/** Which answers count against the new version of a service. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RolloutCounts} from '../src/serving/rollout_counts.js';

const ROUTE = 'route';
const USUAL_MS = 5;
/** The delay of a busy host, in ms. */
const BUSY_MS = 40;
const SLOW_MS = 120;

/** Adds answers of the version before. */
function addBefore(counts: RolloutCounts, count: number, ms: number): void {
  for (let at = 0; at < count; at++) {
    const answer = {route: ROUTE, instanceId: 'old', isNew: false};
    counts.add({...answer, isFailed: false, ms});
  }
}

/** Adds answers of two endpoints of the new version. */
function addNew(counts: RolloutCounts, isFailed: boolean, ms: number): void {
  for (let at = 0; at < 12; at++) {
    const instanceId = `new-${at % 2}`;
    counts.add({route: ROUTE, instanceId, isNew: true, isFailed, ms});
  }
}

function createCounts(): RolloutCounts {
  const counts = new RolloutCounts();
  addBefore(counts, 20, USUAL_MS);
  return counts;
}

describe('the answers of a new version', () => {
  // Guards against sound versions that are rolled back by a busy host.
  it('do not count as slow for the delay of a busy host', () => {
    const counts = createCounts();
    addNew(counts, false, BUSY_MS);
    assert.notEqual(counts.decide(), 'bad');
  });

  it('count as slow when they are late by more', () => {
    const counts = createCounts();
    addNew(counts, false, SLOW_MS);
    assert.equal(counts.decide(), 'bad');
  });

  it('count as failed whatever the version before does', () => {
    const counts = createCounts();
    addNew(counts, true, SLOW_MS);
    assert.equal(counts.decide(), 'bad');
  });
});
