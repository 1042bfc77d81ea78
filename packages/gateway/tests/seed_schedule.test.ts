/** When a host asks its seeds. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeedSchedule} from '@irisdock/gateway';
import {SeededRandom} from '@irisdock/kernel';

function countTries(
  tries: SeedSchedule,
  known: readonly string[],
  beats: number,
): number {
  let count = 0;
  for (let beat = 0; beat < beats; beat++) {
    if (tries.chooseNext(known) !== undefined) count++;
  }
  return count;
}

describe('the tries of seeds', () => {
  it('begin at once and go on while nobody is known', () => {
    const tries = new SeedSchedule(new SeededRandom(1), ['s1', 's2']);
    assert.notEqual(tries.chooseNext(['own']), undefined);
    assert.equal(countTries(tries, ['own'], 100), 20);
  });

  it('get seldom while some hosts are known and a seed is not', () => {
    const tries = new SeedSchedule(new SeededRandom(1), ['s1']);
    assert.equal(countTries(tries, ['own', 'other'], 400), 9);
  });

  it('end when all seeds are known, and begin again with new ones', () => {
    const tries = new SeedSchedule(new SeededRandom(1), ['s1']);
    assert.equal(countTries(tries, ['own', 's1'], 200), 0);
    tries.setSeeds(['s2']);
    assert.equal(tries.chooseNext(['own', 's1']), 's2');
  });
});
