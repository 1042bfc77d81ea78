/** What runs on an endpoint, against a version that adds it up each time. */
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
/** How long what hosts told counts, in ms, as the record has it. */
const TOLD_MS = 2000;
const HOSTS = ['host-a', 'host-b'];

function createUse(running: number): EndpointUse {
  return {running, unreadTokens: 10 * running, expectedTokens: 20 * running};
}

/** Remembers all that was said, and adds it up. */
class NaiveUse {
  readonly claims: UseClaim[] = [];
  readonly told = new Map<string, {use: EndpointUse; at: number}>();

  count(now: number): EndpointUse {
    const uses: EndpointUse[] = [...this.claims];
    for (const {use, at} of this.told.values()) {
      if (now - at <= TOLD_MS) uses.push(use);
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
    what: fc.constantFrom('add', 'read', 'drop', 'tell', 'end'),
    size: fc.nat(3),
    waitMs: fc.constantFrom(0, 10, 500, 2500),
  }),
  {maxLength: 30},
);

describe('what runs on an endpoint', () => {
  it('is the sum of what was claimed and told of late', () => {
    fc.assert(
      fc.property(steps, (list) => {
        let now = 0;
        const record = createEndpoint('e', () => now);
        const naive = new NaiveUse();
        for (const {what, size, waitMs} of list) {
          applyStep(record, naive, what, size, now);
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

  it('is told as gone once, to whoever watches and to whoever comes later', () => {
    const record = createEndpoint('e', () => 0);
    const heard: string[] = [];
    record.watchRemoval((cause) => heard.push(`first ${cause}`));
    const ignore = record.watchRemoval(() => heard.push('ignored'));
    ignore();
    record.markRemoved('restarted');
    record.watchRemoval((cause) => heard.push(`later ${cause}`));
    assert.deepEqual(heard, ['first restarted', 'later restarted']);
    assert.equal(record.isUsable, false);
  });
});

function applyStep(
  record: EndpointRecord,
  naive: NaiveUse,
  what: string,
  size: number,
  now: number,
): void {
  const [claim] = naive.claims;
  const host = HOSTS[size % HOSTS.length] ?? '';
  if (what === 'add') {
    const added = {...createUse(size)};
    naive.claims.push(added);
    record.addClaim(added);
  } else if (what === 'read' && claim !== undefined) {
    record.markPromptRead(claim);
  } else if (what === 'drop' && claim !== undefined) {
    naive.claims.shift();
    record.releaseClaim(claim);
  } else if (what === 'tell') {
    naive.told.set(host, {use: createUse(size), at: now});
    record.setPeerUse(host, createUse(size));
  } else if (what === 'end') {
    naive.told.delete(host);
    record.setPeerUse(host, undefined);
  }
}
