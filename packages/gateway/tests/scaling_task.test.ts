/** The task that orders endpoints: what it saves, sends and repeats. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {CallOutcome} from '@irisdock/gateway';
import {ScalingFleet} from './fixtures/scaling_fleet.js';

/** Longer than until the first order, in ms. */
const FIRST_ORDERS_MS = 2000;

/** Answers the first calls as given, and accepts the others. */
function setFirstOutcomes(
  fleet: ScalingFleet,
  outcomes: readonly CallOutcome[],
): void {
  const left = [...outcomes];
  fleet.decideOutcome = () => left.shift() ?? {kind: 'accepted'};
}

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
