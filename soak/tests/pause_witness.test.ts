/** What breaks the bound on endpoints that asked for a pause. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Disturbances, PauseWitness} from '@irisdock/soak';

const PAUSE_MS = 2000;

function createWitness(...times: readonly number[]): {
  witness: PauseWitness;
  disturbances: Disturbances;
} {
  const disturbances = new Disturbances();
  const witness = new PauseWitness(disturbances);
  for (const at of times) witness.recordRejected('i-1', 'one', at, PAUSE_MS);
  return {witness, disturbances};
}

describe('a witness of pauses', () => {
  it('allows two requests of a host in a pause', () => {
    assert.deepEqual(createWitness(0, 600, 700).witness.listFaults(), []);
    assert.equal(
      createWitness(0, 600, 700, 800).witness.listFaults().length,
      1,
    );
  });

  it('leaves out what was under way, and what comes after the pause', () => {
    const {witness} = createWitness(0, 1, 2, 3, 2000, 2001, 2002, 2003);
    assert.deepEqual(witness.listFaults(), []);
  });

  it('counts each host for itself, but none that something befell', () => {
    const {witness, disturbances} = createWitness(0, 600, 700, 800);
    witness.recordRejected('i-1', 'two', 900, PAUSE_MS);
    assert.equal(witness.listFaults().length, 1);
    disturbances.start('hosts', 100, {host: 'one'});
    assert.deepEqual(witness.listFaults(), []);
  });

  it('takes what a partitioned host relays for nothing that it sent', () => {
    const disturbances = new Disturbances();
    const partition = disturbances.start('endpoint paths', 0, {host: 'one'});
    partition.until = 500;
    const witness = new PauseWitness(disturbances);
    witness.recordRejected('i-1', 'one', 400, PAUSE_MS);
    for (const at of [1000, 1100, 1200]) {
      witness.recordRejected('i-1', 'one', at, PAUSE_MS);
    }
    assert.deepEqual(witness.listFaults(), []);
    for (const at of [4000, 4600, 4700, 4800]) {
      witness.recordRejected('i-1', 'one', at, PAUSE_MS);
    }
    assert.equal(witness.listFaults().length, 1);
  });
});
