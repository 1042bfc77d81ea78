/** What breaks the bound on two endpoints that work on one request. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  Disturbances,
  OverlapWitness,
  type WorkingInstance,
} from '@irisdock/soak';

const HOST = 'host-1';

function createInstance(
  id: string,
  change: Partial<WorkingInstance> = {},
): WorkingInstance {
  return {id, deafUntil: -Infinity, harmedUntil: -Infinity, ...change};
}

/** Counts faults of a run that ends at a moment beside one from 1000 to 5000. */
function countFaults(
  until: number,
  change: Partial<WorkingInstance> = {},
  disturbances = new Disturbances(),
): number {
  const witness = new OverlapWitness(disturbances);
  const [first, next] = [createInstance('i-1', change), createInstance('i-2')];
  witness.recordStart('a-1', first, 0);
  witness.recordStart('a-1', next, 1000);
  witness.recordEnd('a-1', first, until);
  witness.recordEnd('a-1', next, 5000);
  return witness.listFaults(() => HOST).length;
}

describe('a witness of runs side by side', () => {
  it('sees an endpoint that goes on beside the next one', () => {
    assert.equal(countFaults(500), 0);
    assert.equal(countFaults(1400), 0);
    assert.equal(countFaults(3000), 1);
    assert.equal(countFaults(6000), 1);
  });

  it('gives one that was deaf or harmed the time from its end', () => {
    assert.equal(countFaults(3000, {deafUntil: 2900}), 0);
    assert.equal(countFaults(3000, {harmedUntil: 2900}), 0);
    assert.equal(countFaults(4500, {deafUntil: 2900}), 1);
  });

  it('leaves out hosts that something befell, but no others', () => {
    const disturbances = new Disturbances();
    disturbances.start('hosts', 900, {host: 'host-2'});
    disturbances.start('store', 900);
    assert.equal(countFaults(3000, {}, disturbances), 1);
    disturbances.start('hosts', 900, {host: HOST});
    assert.equal(countFaults(3000, {}, disturbances), 0);
  });
});
