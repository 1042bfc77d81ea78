/** The task that orders endpoints: what it saves, sends and repeats. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {PoolOrder} from '@irisdock/decisions';
import type {CallOutcome} from '@irisdock/gateway';
import {ScalingFleet} from './fixtures/scaling_fleet.js';

/** Longer than until the first order, in ms. */
const FIRST_ORDERS_MS = 2000;
/** Longer than a new holder waits before it orders fewer, in ms. */
const SETTLED_MS = 26_000;

/** Answers the first calls as given, and accepts the others. */
function setFirstOutcomes(
  fleet: ScalingFleet,
  outcomes: readonly CallOutcome[],
): void {
  const left = [...outcomes];
  fleet.decideOutcome = () => left.shift() ?? {kind: 'accepted'};
}

/** Puts the row of an earlier holder, for a load that one engine carries. */
function putRow(
  fleet: ScalingFleet,
  pending: readonly PoolOrder[],
  others: readonly object[] = [],
): void {
  const state = {isOrdered: true, isUnavailable: false, unconfirmed: []};
  const ordinary = ['a', 'b', 'c'].map((domain) => {
    return {domain, kind: 'ordinary', count: 6};
  });
  const pools = [...ordinary, ...others].map((pool) => ({...state, ...pool}));
  const plan = {level: 1, initial: 18, hasDemand: true, pools};
  fleet.rows.set('state/s', JSON.stringify({plan, pending}));
}

/** Lists the calls for fewer ordinary endpoints than there are at first. */
function listFewer(fleet: ScalingFleet): string[] {
  return fleet.listCalls().filter((call) => / ordinary [1-5]$/u.test(call));
}

describe('orders of fewer endpoints', () => {
  // Guards against streams that lose their engine and the one to go on at, as
  // spot endpoints were reclaimed while the order was saved.
  it('are checked again after they were saved', async () => {
    const fleet = new ScalingFleet();
    const task = fleet.createTask();
    let isReclaimed = false;
    fleet.handleSave = () => {
      if (fleet.listCalls().length < 3) return;
      isReclaimed = true;
      fleet.endSpot();
    };
    await fleet.run(task, 1.5 * FIRST_ORDERS_MS);
    assert.ok(isReclaimed);
    assert.deepEqual(listFewer(fleet), []);
  });

  // Guards against a new holder that repeats one for the load of another time.
  it('of an earlier holder wait until the load is known', async () => {
    const fleet = new ScalingFleet();
    const order = {domain: 'a', kind: 'ordinary', count: 4} as const;
    putRow(fleet, [{...order, reason: 'the load fell'}]);
    fleet.load = 36;
    await fleet.run(fleet.createTask(), 2 * FIRST_ORDERS_MS);
    assert.deepEqual(fleet.listCalls().slice(0, 1), ['a ordinary 6']);
    assert.deepEqual(listFewer(fleet), []);
  });

  // Guards against decisions by reports and entries from before an outage.
  for (const known of [{isComplete: false}, {isCurrent: false}]) {
    it(`are not sent with ${JSON.stringify(known)}`, async () => {
      const fleet = new ScalingFleet();
      putRow(fleet, []);
      fleet.load = 2;
      const usual = {...fleet.known};
      Object.assign(fleet.known, known);
      const task = fleet.createTask();
      await fleet.run(task, SETTLED_MS);
      assert.deepEqual(listFewer(fleet), []);
      Object.assign(fleet.known, usual);
      await fleet.resume(task, SETTLED_MS);
      assert.ok(listFewer(fleet).length > 0);
    });
  }
});

describe('the task scaling', () => {
  // Guards against an order that no later holder knows of.
  it('saves orders before it sends the first of them', async () => {
    const fleet = new ScalingFleet();
    await fleet.run(fleet.createTask(), FIRST_ORDERS_MS);
    assert.equal(fleet.events[0], 'save');
    assert.match(fleet.events[1] ?? '', /^[abc] spot \d+$/u);
  });

  // Guards against an order that is taken for lost and given otherwise.
  it('repeats an order without an answer before any other', async () => {
    const fleet = new ScalingFleet();
    const unanswered = {kind: 'unanswered', detail: 'silent'} as const;
    setFirstOutcomes(fleet, [unanswered, unanswered]);
    await fleet.run(fleet.createTask(), 2 * FIRST_ORDERS_MS);
    const [first, second, third, fourth] = fleet.listCalls();
    assert.deepEqual([second, third], [first, first]);
    assert.notEqual(fourth, first);
  });

  // Guards against an operator who takes an order for given that is not.
  it('shows the orders that were accepted, and those that were not', async () => {
    const fleet = new ScalingFleet();
    setFirstOutcomes(fleet, [
      {kind: 'accepted'},
      {kind: 'unanswered', detail: 'silent'},
    ]);
    const task = fleet.createTask();
    await fleet.run(task, FIRST_ORDERS_MS);
    const [first, second] = fleet.listCalls();
    const shown = task.getActivity().orders.map((order) => {
      const {failureDomain, kind, count, isAccepted, ageMs} = order;
      return {
        call: `${failureDomain} ${kind} ${count}`,
        isAccepted,
        isAgeKnown: ageMs !== undefined,
      };
    });
    assert.deepEqual(shown, [
      {call: first, isAccepted: true, isAgeKnown: true},
      {call: second, isAccepted: false, isAgeKnown: false},
    ]);
    task.stop();
    assert.deepEqual(task.getActivity().orders, []);
  });

  it('repeats what the platform rejects for its rate of calls', async () => {
    const fleet = new ScalingFleet();
    setFirstOutcomes(fleet, [{kind: 'rejected', status: 429}]);
    await fleet.run(fleet.createTask(), 2 * FIRST_ORDERS_MS);
    const [first, second, third] = fleet.listCalls();
    assert.equal(second, first);
    assert.notEqual(third, first);
  });

  // Guards against calls in vain, each of which costs as much as a request.
  it('asks for a refused pool again only after some seconds', async () => {
    const fleet = new ScalingFleet();
    fleet.decideOutcome = () => ({kind: 'none-available'});
    await fleet.run(fleet.createTask(), FIRST_ORDERS_MS + 2000);
    const calls = fleet.listCalls();
    assert.equal(calls.length, 3);
    assert.equal(new Set(calls).size, 3);
  });

  it('lets a new holder repeat the order that is not settled', async () => {
    const fleet = new ScalingFleet();
    fleet.decideOutcome = () => ({kind: 'unanswered', detail: 'silent'});
    await fleet.run(fleet.createTask(), FIRST_ORDERS_MS);
    const [first] = fleet.listCalls();
    fleet.events.length = 0;
    fleet.decideOutcome = () => ({kind: 'accepted'});
    await fleet.run(fleet.createTask(), FIRST_ORDERS_MS);
    assert.equal(fleet.listCalls()[0], first);
  });

  // Guards against an order of fewer that was safe when it was planned, and is
  // sent again after capacity was lost.
  for (const isNewHolder of [false, true]) {
    const who = isNewHolder ? 'a new holder' : 'the holder';
    it(`lets ${who} take back an order of fewer after a loss`, async () => {
      const fleet = new ScalingFleet();
      const unanswered = {kind: 'unanswered', detail: 'silent'} as const;
      fleet.decideOutcome = ({isSpot}) =>
        isSpot ? {kind: 'accepted'} : unanswered;
      const task = fleet.createTask();
      await fleet.run(task, 2 * FIRST_ORDERS_MS);
      const last = fleet.listCalls().at(-1) ?? '';
      assert.match(last, /^[abc] ordinary [1-5]$/u);
      fleet.endSpot();
      fleet.events.length = 0;
      if (isNewHolder) await fleet.run(fleet.createTask(), FIRST_ORDERS_MS);
      else await fleet.resume(task, 4 * FIRST_ORDERS_MS);
      const whole = last.replace(/\d$/u, '6');
      assert.deepEqual(fleet.events.slice(0, 2), ['save', whole]);
      assert.equal(fleet.events.includes(last), false);
    });
  }

  // Guards against an order that would settle which number is in force and is
  // replaced before it is sent, as it is lower than the one in force.
  it('settles a number that may stand without capacity', async () => {
    const fleet = new ScalingFleet();
    const spot = {domain: 'a', kind: 'spot', count: 3} as const;
    putRow(fleet, [], [{...spot, unconfirmed: [14]}]);
    fleet.load = 300;
    fleet.decideOutcome = ({isSpot, count}) =>
      isSpot && count > 0 ? {kind: 'none-available'} : {kind: 'accepted'};
    await fleet.run(fleet.createTask(), 4 * FIRST_ORDERS_MS);
    assert.ok(fleet.listCalls().includes('a spot 0'));
  });

  // Guards against endpoints that vanished from a restored store and count, with
  // their successors, as ordered: more than the maximum were ordered then.
  it('counts endpoints without a row only once they are current', async () => {
    const fleet = new ScalingFleet({minimum: 1, maximum: 6, bootMs: 0});
    fleet.known.isCurrent = false;
    fleet.setOrdinary('a', 9);
    const task = fleet.createTask();
    await fleet.run(task, FIRST_ORDERS_MS);
    fleet.setOrdinary('a', 6);
    fleet.known.isCurrent = true;
    await fleet.resume(task, FIRST_ORDERS_MS);
    fleet.setOrdinary('a', 3);
    await fleet.resume(task, 5 * FIRST_ORDERS_MS);
    const ofDomain = fleet.listCalls().filter((call) => call.startsWith('a o'));
    assert.deepEqual([...new Set(ofDomain)], ['a ordinary 6']);
  });

  // Guards against spot endpoints that were reclaimed and count as not ordered
  // after the service was missing in the configuration for a moment.
  it('keeps the numbers in force when the service is scaled again', async () => {
    const fleet = new ScalingFleet();
    const task = fleet.createTask();
    await fleet.run(task, 2 * FIRST_ORDERS_MS);
    const before = task.getActivity().orders.map(({count}) => count);
    fleet.endSpot();
    fleet.isScaled = false;
    await fleet.resume(task, FIRST_ORDERS_MS);
    assert.deepEqual(task.getActivity().orders, []);
    fleet.isScaled = true;
    const after = task.getActivity().orders.map(({count}) => count);
    assert.ok(before.length > 0);
    assert.deepEqual(after, before);
  });

  it('starts over if it cannot read the row of an earlier holder', async () => {
    const fleet = new ScalingFleet();
    fleet.rows.set('state/s', '{"plan":7}');
    await fleet.run(fleet.createTask(), FIRST_ORDERS_MS);
    assert.match(fleet.listCalls()[0] ?? '', /^[abc] spot \d+$/u);
  });

  it('sends nothing without the lease', async () => {
    const fleet = new ScalingFleet();
    fleet.isHeld = false;
    await fleet.run(fleet.createTask(), FIRST_ORDERS_MS);
    assert.deepEqual(fleet.listCalls(), []);
  });

  it('writes its state with the next renewals after a change only', async () => {
    const fleet = new ScalingFleet();
    const task = fleet.createTask();
    await fleet.run(task, FIRST_ORDERS_MS);
    const writes = [1, 2, 3].map(() => task.listRenewalChanges().length);
    assert.deepEqual(writes, [1, 1, 0]);
  });
});
