/** What breaks the bound on endpoints that name a limit. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Disturbances, LimitWitness} from '@irisdock/soak';

const LATE_MS = 4000;

/**
 * A witness of arrivals at one moment, at an endpoint that takes 2 a second and
 * has told a host so.
 */
function createWitness(
  arrivals: number,
  at = LATE_MS,
  toldAt = 0,
): {witness: LimitWitness; disturbances: Disturbances} {
  const disturbances = new Disturbances();
  const witness = new LimitWitness(disturbances);
  witness.recordNamed('i-1', 2, 0);
  witness.recordAnswer('i-1', 'one', toldAt);
  for (let count = 0; count < arrivals; count++) {
    const host = count % 2 === 0 ? 'one' : 'two';
    witness.recordArrival('i-1', host, at + count);
  }
  return {witness, disturbances};
}

describe('a witness of limits', () => {
  it('adds up what came from all hosts', () => {
    assert.deepEqual(createWitness(17).witness.listFaults(), []);
    assert.equal(createWitness(18).witness.listFaults().length, 1);
  });

  it('counts from when hosts had to know, until the limit ended', () => {
    assert.deepEqual(createWitness(50, 100).witness.listFaults(), []);
    const {witness} = createWitness(50);
    witness.recordEnded('i-1', LATE_MS - 1);
    assert.deepEqual(witness.listFaults(), []);
  });

  it('leaves out hosts that something befell, but not for the store', () => {
    const {witness, disturbances} = createWitness(18);
    disturbances.start('store', LATE_MS);
    assert.equal(witness.listFaults().length, 1);
    disturbances.start('hosts', LATE_MS - 1000, {host: 'one'});
    assert.deepEqual(witness.listFaults(), []);
  });

  it('counts from the first answer that told a host of the limit', () => {
    const {witness} = createWitness(18, 2 * LATE_MS, LATE_MS + 1001);
    assert.deepEqual(witness.listFaults(), []);
    witness.recordAnswer('i-1', 'two', LATE_MS + 1002);
    assert.deepEqual(witness.listFaults(), []);
    const told = createWitness(18, 2 * LATE_MS, LATE_MS);
    assert.equal(told.witness.listFaults().length, 1);
  });

  it('leaves out answers to hosts that could not tell the others', () => {
    const {witness, disturbances} = createWitness(18, 2 * LATE_MS);
    const from = 1000;
    disturbances.start('hosts', from, {host: 'one'}).until = from + 1;
    assert.deepEqual(witness.listFaults(), []);
    witness.recordAnswer('i-1', 'two', LATE_MS);
    assert.equal(witness.listFaults().length, 1);
  });

  it('counts while one host at least has lived on since then', () => {
    const {witness, disturbances} = createWitness(18, 3 * LATE_MS);
    const from = LATE_MS;
    disturbances.start('hosts', from, {host: 'one'}).until = from + 1;
    assert.equal(witness.listFaults().length, 1);
    disturbances.start('hosts', from + 2).until = from + 3;
    assert.deepEqual(witness.listFaults(), []);
    // The endpoint has told a host anew since all were lost.
    witness.recordAnswer('i-1', 'one', LATE_MS + 1000);
    assert.equal(witness.listFaults().length, 1);
  });
});
