/** The fair queue: shares of teams, order, eviction and deadlines. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {FairQueue, NaiveQueue, type QueuedRequest} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

let serial = 0;

function createRequest(
  team: string,
  change: Partial<QueuedRequest> = {},
): QueuedRequest {
  serial++;
  const base = {team, weight: 1, cost: 1, deadlineAt: Infinity};
  return {id: `w${serial}`, ...base, ...change};
}

interface Queue {
  offer(request: QueuedRequest): unknown;
  take(): QueuedRequest | undefined;
}

/** Adds the requests of a large team, then one of each of ten small teams. */
function addRequests(queue: Queue): void {
  for (let index = 0; index < 200; index++) queue.offer(createRequest('large'));
  for (let team = 0; team < 10; team++) queue.offer(createRequest(`t${team}`));
}

/** Counts the requests taken until each small team has been served. */
function countUntilServed(queue: Queue): number {
  const left = new Set(Array.from({length: 10}, (_, index) => `t${index}`));
  for (let taken = 1; ; taken++) {
    const request = queue.take();
    if (request === undefined) return Infinity;
    left.delete(request.team);
    if (left.size === 0) return taken;
  }
}

const REQUESTS = fc.array(
  fc.record({
    team: fc.constantFrom('a', 'b', 'c', 'd'),
    cost: fc.integer({min: 1, max: 1000}),
    take: fc.boolean(),
  }),
  {maxLength: 60},
);

describe('FairQueue', () => {
  it('serves ten small teams before a large one, unlike the naive queue', () => {
    const fair = new FairQueue(() => 1000);
    const naive = new NaiveQueue(() => 1000);
    addRequests(fair);
    addRequests(naive);
    assert.ok(countUntilServed(fair) <= 11);
    assert.equal(countUntilServed(naive), 210);
  });

  it('shares by weight and cost', () => {
    const queue = new FairQueue(() => 10_000);
    for (let index = 0; index < 600; index++) {
      queue.offer(createRequest('double', {weight: 2, cost: 10}));
      queue.offer(createRequest('single', {weight: 1, cost: 10}));
      queue.offer(createRequest('heavy', {weight: 1, cost: 30}));
    }
    const work = new Map<string, number>();
    for (let index = 0; index < 400; index++) {
      const request = queue.take();
      assert.ok(request !== undefined);
      work.set(request.team, (work.get(request.team) ?? 0) + request.cost);
    }
    const single = work.get('single') ?? 0;
    assert.ok(Math.abs((work.get('double') ?? 0) / single - 2) < 0.1);
    assert.ok(Math.abs((work.get('heavy') ?? 0) / single - 1) < 0.1);
  });

  it('evicts the newest request of the largest team if it is full', () => {
    const queue = new FairQueue(() => 4);
    const large = [1, 2, 3, 4].map(() => createRequest('large'));
    for (const request of large) queue.offer(request);
    const small = createRequest('small');
    const offer = queue.offer(small);
    assert.deepEqual(offer, {outcome: 'waits', evicted: large[3]});
    assert.deepEqual(queue.offer(createRequest('large')), {outcome: 'refused'});
  });

  it('returns each request exactly once and keeps its bound', () => {
    fc.assert(
      fc.property(REQUESTS, fc.integer({min: 1, max: 10}), (steps, bound) => {
        const queue = new FairQueue(() => bound);
        const removed = new Set<string>();
        const offered = new Set<string>();
        const recordRemoved = (request: QueuedRequest | undefined): void => {
          if (request === undefined) return;
          assert.ok(offered.has(request.id) && !removed.has(request.id));
          removed.add(request.id);
        };
        for (const {team, cost, take} of steps) {
          const request = createRequest(team, {cost});
          const offer = queue.offer(request);
          if (offer.outcome === 'waits') offered.add(request.id);
          if (offer.outcome === 'waits') recordRemoved(offer.evicted);
          assert.ok(queue.size <= bound);
          if (take) recordRemoved(queue.take());
        }
        while (queue.size > 0) recordRemoved(queue.take());
        assert.deepEqual(removed, offered);
      }),
      RUN_OPTIONS,
    );
  });

  it('keeps the order of the requests of a team', () => {
    fc.assert(
      fc.property(REQUESTS, (steps) => {
        const queue = new FairQueue(() => 1000);
        const expected = new Map<string, string[]>();
        for (const {team, cost} of steps) {
          const request = createRequest(team, {cost});
          queue.offer(request);
          expected.set(team, [...(expected.get(team) ?? []), request.id]);
        }
        const actual = new Map<string, string[]>();
        for (
          let request = queue.take();
          request !== undefined;
          request = queue.take()
        ) {
          actual.set(request.team, [
            ...(actual.get(request.team) ?? []),
            request.id,
          ]);
        }
        assert.deepEqual(
          Object.fromEntries(actual),
          Object.fromEntries(expected),
        );
      }),
      RUN_OPTIONS,
    );
  });

  it('removes only requests whose deadline has passed', () => {
    const queue = new FairQueue(() => 10);
    const short = createRequest('a', {deadlineAt: 5});
    const long = createRequest('a', {deadlineAt: 50});
    queue.offer(short);
    queue.offer(long);
    assert.deepEqual(queue.takeExpired(5), [short]);
    assert.deepEqual(queue.take(), long);
  });
});
