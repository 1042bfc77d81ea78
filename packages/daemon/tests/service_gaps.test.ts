/** How long a first token is waited for, by what is known. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServiceGaps} from '../src/endpoint/service_gaps.js';

const LEAST_MS = 2000;
const MOST_MS = 20_000;

/** Gives the limit after so many first tokens of the same wait. */
function getLimit(
  known: number,
  waitMs: number,
  isResuming: boolean,
  promptChars = 0,
): number {
  const gaps = new ServiceGaps();
  for (let at = 0; at < known; at++) gaps.recordFirstToken(waitMs, 0);
  const bounds = {minMs: LEAST_MS, maxMs: MOST_MS};
  return gaps.getFirstTokenLimit({promptChars, isResuming, ...bounds});
}

describe('the wait for a first token', () => {
  const cases: readonly {
    name: string;
    limit: number;
    isWanted: (limit: number) => boolean;
  }[] = [
    {
      name: 'is the longest for a new answer while little is known',
      limit: getLimit(7, 30, false),
      isWanted: (limit) => limit === MOST_MS,
    },
    {
      name: 'is short for a resumed answer by one that is known',
      limit: getLimit(1, 30, true),
      isWanted: (limit) => limit === LEAST_MS,
    },
    {
      name: 'is a few seconds for a resumed answer when nothing is known',
      limit: getLimit(0, 0, true),
      isWanted: (limit) => limit === 2 * LEAST_MS,
    },
    {
      name: 'follows the pace of slow engines for a resumed answer too',
      limit: getLimit(1, 1500, true),
      isWanted: (limit) => limit > 1500 * 3 && limit <= MOST_MS,
    },
    {
      name: 'grows with the prompt',
      limit: getLimit(8, 600, true, 40_000),
      isWanted: (limit) => limit > getLimit(8, 600, true),
    },
    {
      name: 'is never above the longest',
      limit: getLimit(8, 60_000, false),
      isWanted: (limit) => limit === MOST_MS,
    },
  ];
  for (const {name, limit, isWanted} of cases) {
    it(name, () => {
      assert.ok(isWanted(limit), `${limit} ms`);
    });
  }
});
