/** The pause that an endpoint asks for, whatever it asks and in any order. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  computePauseEnd,
  computeRetryDelayMs,
  MAX_PAUSE_MS,
  UNREADABLE_PAUSE_MS,
  type PauseRequest,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const REQUESTS = fc.oneof(
  fc.constant<PauseRequest>({kind: 'unreadable'}),
  fc.record({
    kind: fc.constant<'delay'>('delay'),
    ms: fc.double({min: 0, max: 1e15, noNaN: true}),
  }),
);

function computeEnd(
  requests: readonly (readonly [number, PauseRequest])[],
): number | undefined {
  let end: number | undefined;
  for (const [at, request] of requests) {
    end = computePauseEnd(request, at, end);
  }
  return end;
}

describe('the end of a pause', () => {
  it('is the latest that was asked for, in any order', () => {
    const arrivals = fc.array(
      fc.tuple(fc.integer({min: 0, max: 10_000}), REQUESTS),
      {minLength: 1},
    );
    fc.assert(
      fc.property(arrivals, (requests) => {
        const end = computeEnd(requests);
        assert.equal(computeEnd([...requests].reverse()), end);
        const last = Math.max(...requests.map(([at]) => at));
        assert.ok(end !== undefined && end <= last + MAX_PAUSE_MS);
      }),
      RUN_OPTIONS,
    );
  });

  it('comes after a moment when what was asked for is no time', () => {
    const end = computePauseEnd({kind: 'unreadable'}, 100, undefined);
    assert.equal(end, 100 + UNREADABLE_PAUSE_MS);
  });

  it('is before the return of every caller that was refused', () => {
    assert.equal(computeRetryDelayMs(3000, 1000, 0), 2000);
    assert.ok(computeRetryDelayMs(3000, 1000, 1) > 2000);
    assert.equal(computeRetryDelayMs(1000, 3000, 0), 0);
  });
});
