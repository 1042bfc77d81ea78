/** What breaks the bound on requests that end their endpoints. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {CrashWitness, Disturbances} from '@irisdock/soak';

const LATE_MS = 4000;

function createWitness(
  later: number,
  endpoints: number,
): {witness: CrashWitness; disturbances: Disturbances} {
  const disturbances = new Disturbances();
  const witness = new CrashWitness(disturbances);
  for (let count = 0; count < 3 + later; count++) {
    const endpoint = `i-${count % endpoints}`;
    const at = count < 3 ? 0 : LATE_MS + count;
    witness.recordRun({body: 'crash-1', endpoint, host: 'one', at});
  }
  return {witness, disturbances};
}

describe('a witness of crashes', () => {
  it('finds a fourth run after three endpoints ended', () => {
    assert.deepEqual(createWitness(3, 9).witness.listFaults(), []);
    assert.equal(createWitness(4, 9).witness.listFaults().length, 1);
  });

  it('counts the endpoints, not the runs', () => {
    assert.deepEqual(createWitness(4, 2).witness.listFaults(), []);
  });

  it('leaves out hosts that something befell', () => {
    const {witness, disturbances} = createWitness(4, 9);
    disturbances.start('hosts', LATE_MS, {host: 'one'});
    assert.deepEqual(witness.listFaults(), []);
  });
});
