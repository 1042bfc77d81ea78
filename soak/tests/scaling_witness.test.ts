/** What breaks the promises on orders of endpoints. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  Disturbances,
  EndWitness,
  ScalingWitness,
  type Attempt,
  type PlatformPool,
} from '@irisdock/soak';

const SCALING = {minimum: 2, maximum: 6, bootMs: 1000, slots: 10, prices: {}};
/** Longer than the time over which the least load counts, in ms. */
const AT = 10_000;

/** Creates pools of three domains, with so many of each kind. */
function createPools(ordinary: number, spot: number): PlatformPool[] {
  return ['a', 'b', 'c'].flatMap((failureDomain) => [
    {failureDomain, isSpot: false, ordered: 2, present: 2, ready: ordinary},
    {failureDomain, isSpot: true, ordered: 3, present: 3, ready: spot},
  ]);
}

/** Creates a witness that saw so many streams at once for some time. */
function createWitness(
  load: number,
  disturbances = new Disturbances(),
): ScalingWitness {
  const witness = new ScalingWitness(disturbances, SCALING);
  for (let index = 0; index < load; index++) {
    witness.recordStart(`stream-${index}`, 'i-1', 0);
  }
  return witness;
}

function countFaults(
  witness: ScalingWitness,
  count: number,
  isSpot: boolean,
  pools = createPools(2, 3),
): number {
  const order = {service: 'streams', failureDomain: 'a', count, isSpot};
  witness.recordOrder({holder: 'host-1', order}, pools, AT);
  return witness.faults.length;
}

describe('the witness of orders', () => {
  // A witness that overlooks one of these would pass a broken limit.
  it('finds counts beyond the limits of both kinds together', () => {
    assert.equal(countFaults(createWitness(0), 3, false), 0);
    assert.equal(countFaults(createWitness(0), 4, false), 1);
    assert.equal(countFaults(createWitness(0), 4, true), 0);
    assert.equal(countFaults(createWitness(0), 5, true), 1);
    const few = createPools(2, 0).map((pool) =>
      pool.isSpot ? {...pool, present: 1} : pool,
    );
    assert.equal(countFaults(createWitness(0), 1, false, few), 0);
    assert.equal(countFaults(createWitness(0), 0, false, few), 1);
  });

  // Guards against a witness that takes the number of reclaimed endpoints for
  // given up; only a restored store lets a host forget it.
  it('counts the numbers of reclaimed endpoints', () => {
    const gone = createPools(2, 0).map((pool) =>
      pool.isSpot ? {...pool, present: 0} : pool,
    );
    assert.equal(countFaults(createWitness(0), 3, false, gone), 0);
    assert.equal(countFaults(createWitness(0), 4, false, gone), 1);
    const disturbances = new Disturbances();
    disturbances.start('store', 1);
    const restored = createWitness(0, disturbances);
    assert.equal(countFaults(restored, 4, false, gone), 0);
  });

  // Guards against a witness that passes draining before others are there.
  it('finds orders of fewer that leave too little for the load', () => {
    // Seven streams an endpoint; three spot endpoints are booting.
    assert.equal(
      countFaults(createWitness(21), 1, false, createPools(2, 0)),
      0,
    );
    assert.equal(
      countFaults(createWitness(22), 1, false, createPools(2, 0)),
      1,
    );
    assert.equal(countFaults(createWitness(22), 1, false), 0);
    assert.equal(
      countFaults(createWitness(22), 2, false, createPools(2, 0)),
      0,
    );
  });

  it('leaves out orders of hosts that cannot know what there is', () => {
    const disturbances = new Disturbances();
    disturbances.start('hosts', AT - 100, {host: 'host-1'});
    const cut = createWitness(30, disturbances);
    assert.equal(countFaults(cut, 1, false, createPools(2, 0)), 0);
    const reclaimed = createWitness(30);
    reclaimed.recordReclaim(AT - 100);
    assert.equal(countFaults(reclaimed, 1, false, createPools(2, 0)), 0);
  });

  it('finds what lacks in the end, in a pool and for the load', () => {
    const witness = createWitness(30);
    assert.deepEqual(witness.listMissing(createPools(2, 3), AT), []);
    assert.equal(witness.listMissing(createPools(1, 3), AT).length, 3);
    const few = createPools(1, 0).map((pool) => ({...pool, ordered: 0}));
    assert.equal(witness.listMissing(few, AT).length, 1);
    // A stream that moves runs at two endpoints for a moment, and counts once.
    witness.recordStart('stream-0', 'i-2', AT);
    witness.recordEnd('stream-0', 'i-1', AT);
    witness.recordEnd('stream-0', 'i-2', AT);
    for (let index = 1; index < 30; index++) {
      witness.recordEnd(`stream-${index}`, 'i-1', AT);
    }
    assert.deepEqual(witness.listMissing(few, AT), []);
  });
});

describe('the witness of announced ends', () => {
  // Guards against a witness that passes hosts which ignore announced ends, as
  // a stream on an endpoint that ended continues elsewhere all the same.
  it('finds streams that are nowhere else when their endpoint ends', () => {
    const witness = createWitness(3);
    witness.recordStart('stream-0', 'i-2', AT);
    const attempts = {
      isMovable: (attemptId: string): boolean => attemptId !== 'stream-1',
    };
    witness.recordAnnouncedEnd('i-2', attempts);
    assert.deepEqual(witness.faults, []);
    witness.recordAnnouncedEnd('i-1', attempts);
    assert.deepEqual(witness.faults, [
      'stream-2 was still at i-1 when it ended',
    ]);
  });
});

describe('the witness of ends', () => {
  const attempt = {
    attemptId: 'x',
    kind: 'stream',
    host: 'host-1',
    body: '',
    startedAt: performance.now(),
  } as Attempt;

  function findCut(disturbances: Disturbances): string | undefined {
    const witness = new EndWitness(disturbances, false);
    witness.recordAttempt(attempt);
    const instance = {id: 'i-1', harmedUntil: Infinity, leavingAt: 0};
    witness.recordRun(attempt, instance);
    const cut = {wasSent: true, wasBegun: true, lastServer: 'i-1'};
    return witness.recordCut(attempt, cut);
  }

  // Guards against a witness that takes an announced end for a lost endpoint.
  it('finds a stream that is cut at the announced end of its endpoint', () => {
    assert.match(findCut(new Disturbances()) ?? '', /left alone/u);
    // A host that cannot read the store does not learn of the end in time.
    const disturbances = new Disturbances();
    disturbances.start('store', 0);
    assert.equal(findCut(disturbances), undefined);
  });
});
