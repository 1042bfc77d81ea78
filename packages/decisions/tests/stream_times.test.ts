/** How long streams took of late. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {StreamTimes} from '@irisdock/decisions';

function createTimes(list: readonly number[]): StreamTimes {
  const times = new StreamTimes();
  for (const ms of list) times.record(ms);
  return times;
}

describe('what most streams took', () => {
  const cases: readonly [string, readonly number[], number][] = [
    ['nothing is known', [], Infinity],
    ['one is known', [700], 700],
    ['one of ten was long', [1, 2, 3, 4, 5, 6, 7, 8, 9, 999], 9],
    ['two of ten were long', [1, 2, 3, 4, 5, 6, 7, 8, 500, 999], 500],
  ];
  for (const [what, list, most] of cases) {
    it(`is ${most} ms when ${what}`, () => {
      assert.equal(createTimes(list).computeMostMs(), most);
      assert.equal(createTimes([...list].reverse()).computeMostMs(), most);
    });
  }

  it('follows what streams take of late', () => {
    const list = Array.from({length: 200}, (_, at) => (at < 150 ? 9000 : 40));
    assert.equal(createTimes(list).computeMostMs(), 40);
  });
});
