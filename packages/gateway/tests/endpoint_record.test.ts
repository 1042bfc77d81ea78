/** The use of an endpoint, compared with an implementation that sums it anew. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {
  EndpointRecord,
  EndpointUse,
  UseClaim,
} from '../src/serving/endpoint_record.js';
import {createEndpoint} from './fixtures/endpoints.js';

const RUNS = {numRuns: 300, seed: 20_261_203};
/** How long a report of another host is valid, in ms, as in the record. */
const PEER_USE_TTL_MS = 2000;
const HOSTS = ['host-a', 'host-b'];

function createUse(running: number): EndpointUse {
  return {running, unreadTokens: 10 * running, expectedTokens: 20 * running};
}

/** Keeps all claims and reports, and sums them up for each count. */
class NaiveUse {
  readonly claims: UseClaim[] = [];
  readonly reports = new Map<string, {use: EndpointUse; at: number}>();

  count(now: number): EndpointUse {
    const uses: EndpointUse[] = [...this.claims];
    for (const {use, at} of this.reports.values()) {
      if (now - at <= PEER_USE_TTL_MS) uses.push(use);
    }
    const add = (get: (use: EndpointUse) => number): number =>
      uses.reduce((total, use) => total + get(use), 0);
    return {
      running: add(({running}) => running),
      unreadTokens: add(({unreadTokens}) => unreadTokens),
      expectedTokens: add(({expectedTokens}) => expectedTokens),
    };
  }
}

const steps = fc.array(
  fc.record({
    action: fc.constantFrom('add', 'read', 'release', 'report', 'end'),
    size: fc.nat(3),
    waitMs: fc.constantFrom(0, 10, 500, 2500),
  }),
  {maxLength: 30},
);

describe('the record of an endpoint', () => {
  it('sums up the claims and the recent reports of other hosts', () => {
    fc.assert(
      fc.property(steps, (list) => {
        let now = 0;
        const record = createEndpoint('e', () => now);
        const naive = new NaiveUse();
        for (const {action, size, waitMs} of list) {
          applyStep(record, naive, action, size, now);
          now += waitMs;
          const {streams, unreadTokens, expectedTokens} = record;
          assert.deepEqual(
            {running: streams, unreadTokens, expectedTokens},
            naive.count(now),
          );
        }
      }),
      RUNS,
    );
  });

  it('calls each removal listener once, also if added after the removal', () => {
    const record = createEndpoint('e', () => 0);
    const calls: string[] = [];
    record.watchRemoval((cause) => calls.push(`first ${cause}`));
    const stopWatching = record.watchRemoval(() => calls.push('stopped'));
    stopWatching();
    record.markRemoved('restarted');
    record.watchRemoval((cause) => calls.push(`later ${cause}`));
    assert.deepEqual(calls, ['first restarted', 'later restarted']);
    assert.equal(record.isUsable, false);
  });
});

function applyStep(
  record: EndpointRecord,
  naive: NaiveUse,
  action: string,
  size: number,
  now: number,
): void {
  const [claim] = naive.claims;
  const host = HOSTS[size % HOSTS.length] ?? '';
  if (action === 'add') {
    const added = {...createUse(size)};
    naive.claims.push(added);
    record.addClaim(added);
  } else if (action === 'read' && claim !== undefined) {
    record.markPromptRead(claim);
  } else if (action === 'release' && claim !== undefined) {
    naive.claims.shift();
    record.releaseClaim(claim);
  } else if (action === 'report') {
    naive.reports.set(host, {use: createUse(size), at: now});
    record.setPeerUse(host, createUse(size));
  } else if (action === 'end') {
    naive.reports.delete(host);
    record.setPeerUse(host, undefined);
  }
}
