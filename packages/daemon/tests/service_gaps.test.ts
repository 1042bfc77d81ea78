/** The time limit for a first token depends on the samples recorded so far. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServiceGaps} from '../src/endpoint/service_gaps.js';

const MIN_MS = 2000;
const MAX_MS = 20_000;

/** Returns the limit after a number of first tokens with the same latency. */
function getLimit(
  samples: number,
  latencyMs: number,
  isResuming: boolean,
  promptChars = 0,
): number {
  const gaps = new ServiceGaps();
  for (let i = 0; i < samples; i++) gaps.recordFirstToken(latencyMs, 0);
  const bounds = {minMs: MIN_MS, maxMs: MAX_MS};
  return gaps.getFirstTokenLimit({promptChars, isResuming, ...bounds});
}

describe('the time limit for a first token', () => {
  const cases: readonly {
    name: string;
    limit: number;
    isExpected: (limit: number) => boolean;
  }[] = [
    {
      name: 'is the maximum for a new answer with too few samples',
      limit: getLimit(7, 30, false),
      isExpected: (limit) => limit === MAX_MS,
    },
    {
      name: 'is short for a resumed answer after one sample',
      limit: getLimit(1, 30, true),
      isExpected: (limit) => limit === MIN_MS,
    },
    {
      name: 'is twice the minimum for a resumed answer without samples',
      limit: getLimit(0, 0, true),
      isExpected: (limit) => limit === 2 * MIN_MS,
    },
    {
      name: 'follows the latency of slow engines for a resumed answer too',
      limit: getLimit(1, 1500, true),
      isExpected: (limit) => limit > 1500 * 3 && limit <= MAX_MS,
    },
    {
      name: 'grows with the prompt length',
      limit: getLimit(8, 600, true, 40_000),
      isExpected: (limit) => limit > getLimit(8, 600, true),
    },
    {
      name: 'never exceeds the maximum',
      limit: getLimit(8, 60_000, false),
      isExpected: (limit) => limit === MAX_MS,
    },
  ];
  for (const {name, limit, isExpected} of cases) {
    it(name, () => {
      assert.ok(isExpected(limit), `${limit} ms`);
    });
  }
});
