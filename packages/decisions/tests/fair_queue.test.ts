/** Teams share a queue by weight; nobody starves; the queue is bounded. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {FairQueue, NaiveQueue, type QueuedRequest} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

let serial = 0;

function createWaiter(
  team: string,
  change: Partial<QueuedRequest> = {},
): QueuedRequest {
  serial++;
  const base = {team, weight: 1, cost: 1, deadlineAt: Infinity};
  return {id: `w${serial}`, ...base, ...change};
}

interface Queue {
  offer(waiter: QueuedRequest): unknown;
  take(): QueuedRequest | undefined;
}

/** Fills a queue with a large team's requests, then ten small teams'. */
function addRequests(queue: Queue): void {
  for (let at = 0; at < 200; at++) queue.offer(createWaiter('large'));
  for (let team = 0; team < 10; team++) queue.offer(createWaiter(`t${team}`));
}

/** Gives how many requests leave before all small teams have had theirs. */
function countUntilServed(queue: Queue): number {
  const left = new Set(Array.from({length: 10}, (_, at) => `t${at}`));
  for (let taken = 1; ; taken++) {
    const waiter = queue.take();
    if (waiter === undefined) return Infinity;
    left.delete(waiter.team);
    if (left.size === 0) return taken;
  }
}

const WAITERS = fc.array(
  fc.record({
    team: fc.constantFrom('a', 'b', 'c', 'd'),
    cost: fc.integer({min: 1, max: 1000}),
    take: fc.boolean(),
  }),
  {maxLength: 60},
);

describe('FairQueue', () => {
  it('lets ten small teams pass a large one; the naive queue does not', () => {
    const fair = new FairQueue(() => 1000);
    const naive = new NaiveQueue(() => 1000);
    addRequests(fair);
    addRequests(naive);
    assert.ok(countUntilServed(fair) <= 11);
    assert.equal(countUntilServed(naive), 210);
  });

  it('shares by weight and cost', () => {
    const queue = new FairQueue(() => 10_000);
    for (let at = 0; at < 600; at++) {
      queue.offer(createWaiter('double', {weight: 2, cost: 10}));
      queue.offer(createWaiter('single', {weight: 1, cost: 10}));
      queue.offer(createWaiter('heavy', {weight: 1, cost: 30}));
    }
    const work = new Map<string, number>();
    for (let at = 0; at < 400; at++) {
      const waiter = queue.take();
      assert.ok(waiter !== undefined);
      work.set(waiter.team, (work.get(waiter.team) ?? 0) + waiter.cost);
    }
    const single = work.get('single') ?? 0;
    assert.ok(Math.abs((work.get('double') ?? 0) / single - 2) < 0.1);
    assert.ok(Math.abs((work.get('heavy') ?? 0) / single - 1) < 0.1);
  });

  it('pushes out the newest of the largest team when it is full', () => {
    const queue = new FairQueue(() => 4);
    const large = [1, 2, 3, 4].map(() => createWaiter('large'));
    for (const waiter of large) queue.offer(waiter);
    const small = createWaiter('small');
    const offer = queue.offer(small);
    assert.deepEqual(offer, {outcome: 'waits', evicted: large[3]});
    assert.deepEqual(queue.offer(createWaiter('large')), {outcome: 'refused'});
  });

  it('gives each request back exactly once and keeps to its bound', () => {
    fc.assert(
      fc.property(WAITERS, fc.integer({min: 1, max: 10}), (steps, bound) => {
        const queue = new FairQueue(() => bound);
        const out = new Set<string>();
        const offered = new Set<string>();
        const leave = (waiter: QueuedRequest | undefined): void => {
          if (waiter === undefined) return;
          assert.ok(offered.has(waiter.id) && !out.has(waiter.id));
          out.add(waiter.id);
        };
        for (const {team, cost, take} of steps) {
          const waiter = createWaiter(team, {cost});
          const offer = queue.offer(waiter);
          if (offer.outcome === 'waits') offered.add(waiter.id);
          if (offer.outcome === 'waits') leave(offer.evicted);
          assert.ok(queue.size <= bound);
          if (take) leave(queue.take());
        }
        while (queue.size > 0) leave(queue.take());
        assert.deepEqual(out, offered);
      }),
      RUN_OPTIONS,
    );
  });

  it('keeps the order of a team', () => {
    fc.assert(
      fc.property(WAITERS, (steps) => {
        const queue = new FairQueue(() => 1000);
        const wanted = new Map<string, string[]>();
        for (const {team, cost} of steps) {
          const waiter = createWaiter(team, {cost});
          queue.offer(waiter);
          wanted.set(team, [...(wanted.get(team) ?? []), waiter.id]);
        }
        const got = new Map<string, string[]>();
        for (let w = queue.take(); w !== undefined; w = queue.take()) {
          got.set(w.team, [...(got.get(w.team) ?? []), w.id]);
        }
        assert.deepEqual(Object.fromEntries(got), Object.fromEntries(wanted));
      }),
      RUN_OPTIONS,
    );
  });

  it('gives up what has waited too long, and only that', () => {
    const queue = new FairQueue(() => 10);
    const short = createWaiter('a', {deadlineAt: 5});
    const long = createWaiter('a', {deadlineAt: 50});
    queue.offer(short);
    queue.offer(long);
    assert.deepEqual(queue.takeExpired(5), [short]);
    assert.deepEqual(queue.take(), long);
  });
});
