/** Which answers count against the new version of a service. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RolloutCounts} from '../src/serving/rollout_counts.js';

const ROUTE = 'route';
const USUAL_MS = 5;
/** An answer time that includes the delay of a busy host, in ms. */
const BUSY_MS = 40;
const SLOW_MS = 120;

/** Adds answers of the old version. */
function addOld(counts: RolloutCounts, count: number, ms: number): void {
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
  addOld(counts, 20, USUAL_MS);
  return counts;
}

describe('the answers of a new version', () => {
  // Guards against a rollback of a good version because a host is busy.
  it('do not count as slow for the delay of a busy host', () => {
    const counts = createCounts();
    addNew(counts, false, BUSY_MS);
    assert.notEqual(counts.decide(), 'bad');
  });

  it('count as slow beyond that delay', () => {
    const counts = createCounts();
    addNew(counts, false, SLOW_MS);
    assert.equal(counts.decide(), 'bad');
  });

  it('count as failed however the old version answers', () => {
    const counts = createCounts();
    addNew(counts, true, SLOW_MS);
    assert.equal(counts.decide(), 'bad');
  });
});
