/** The witness compares resumed streams to new ones after a loss of all hosts. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createLossReport,
  findLossFault,
  type EndedAttempt,
  type Loss,
} from '@irisdock/soak';

const STREAMS = 10;
const LOSS: Loss = {
  kind: 'one version leaves',
  from: 1000,
  until: 4000,
  serving: new Set(['v2']),
};

function createAttempts(
  name: string,
  change: Partial<EndedAttempt>,
): EndedAttempt[] {
  return Array.from({length: STREAMS}, (_, index) => ({
    host: 'host-1',
    startedAt: 1500,
    isServed: true,
    request: `${name}-${index}`,
    isStream: true,
    version: undefined,
    ...change,
  }));
}

const BEGUN = createAttempts('begun', {});

function findFault(attempts: readonly EndedAttempt[]): string | undefined {
  return findLossFault(createLossReport(LOSS, [...BEGUN, ...attempts]));
}

describe('the witness of a loss of all hosts', () => {
  it('finds streams that are refused though their version serves', () => {
    const refused = {version: 'v2', isServed: false};
    const fault = findFault(createAttempts('resumed', refused));
    assert.match(fault ?? '', /0 of 10 resumed .* 10 of 10 new/u);
  });

  it('expects nothing of streams whose version left', () => {
    const refused = {version: 'v1', isServed: false};
    assert.equal(findFault(createAttempts('resumed', refused)), undefined);
  });

  it('expects nothing of streams that were resumed before it', () => {
    const refused = {version: 'v2', isServed: false, startedAt: 900};
    assert.equal(findFault(createAttempts('resumed', refused)), undefined);
  });

  it('counts a stream as served that goes on at a later attempt', () => {
    const refused = {version: 'v2', isServed: false};
    const attempts = [
      ...createAttempts('resumed', refused),
      ...createAttempts('resumed', {version: 'v2', startedAt: 2500}),
    ];
    assert.equal(findFault(attempts), undefined);
    const {resumed} = createLossReport(LOSS, attempts);
    assert.equal(resumed, STREAMS);
  });
});
