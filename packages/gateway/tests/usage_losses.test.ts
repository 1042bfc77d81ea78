/** Usage reports after losses of hosts and holders, in simulated time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {UsageFleet} from './fixtures/usage_fleet.js';

const HOSTS = ['a', 'b', 'c', 'd'];

/** Makes each host begin two requests at a time, ten times a second. */
async function runRequests(
  fleet: UsageFleet,
  names: readonly string[],
  times: number,
): Promise<void> {
  for (let i = 0; i < times; i++) {
    for (const name of [...names, ...names]) fleet.startRequest(name, 'first');
    await fleet.run(100);
  }
}

/** Sums the accepted counts and the begun requests over all windows. */
function countAll(fleet: UsageFleet): {reported: number; begun: number} {
  let reported = 0;
  let begun = 0;
  for (const {first = 0} of fleet.listReports()) reported += first;
  for (const {first = 0} of fleet.truth.values()) begun += first;
  return {reported, begun};
}

describe('usage reports after losses', () => {
  // The first holder sent its object, the next one the decoded row without it.
  it('have one body if the decoder drops the name of a team', async () => {
    const fleet = new UsageFleet(HOSTS);
    await fleet.acquire('a');
    fleet.startRequest('d', 'first');
    fleet.startRequest('d', '__proto__');
    await fleet.run(6950);
    fleet.callFault = 'unanswered';
    await fleet.run(100);
    assert.equal(fleet.accepted.size, 1);
    fleet.hosts.delete('a');
    await fleet.acquire('b');
    await fleet.run(5000);
    assert.ok([...fleet.accepted.values()].some(({length}) => length > 1));
    assert.deepEqual(fleet.listContradictions(), []);
  });

  // A checkpoint in which no count belonged to lost hosts replaced a good one.
  it('keep the checkpoint until the hosts have answered', async () => {
    const fleet = new UsageFleet(HOSTS);
    await fleet.acquire('a');
    await runRequests(fleet, HOSTS, 10);
    await fleet.run(150);
    for (const name of HOSTS) fleet.startHost(name);
    await fleet.acquire('b');
    await runRequests(fleet, HOSTS, 4);
    await fleet.saveState();
    fleet.startHost('b');
    await fleet.acquire('c');
    await runRequests(fleet, HOSTS, 10);
    await fleet.run(8000);
    const {reported, begun} = countAll(fleet);
    // What the second process of b began may be lost with it.
    assert.ok(reported >= begun - 8, `${reported} of ${begun}`);
    assert.ok(reported <= begun, `${reported} of ${begun}`);
  });

  // The growth of the hosts that went on took the place of the lost counts.
  it('contain a lost host that the new holder never heard', async () => {
    const fleet = new UsageFleet(HOSTS);
    await fleet.acquire('a');
    await runRequests(fleet, HOSTS, 10);
    await fleet.run(150);
    fleet.hosts.delete('d');
    fleet.startHost('b');
    await fleet.acquire('b');
    await fleet.run(700);
    await runRequests(fleet, ['a', 'c'], 20);
    await fleet.run(8000);
    const {reported, begun} = countAll(fleet);
    assert.equal(reported, begun);
  });

  // New hosts passed for the ones of the checkpoint, so their growth hid it.
  it('contain the checkpoint if all clocks are behind after it', async () => {
    const fleet = new UsageFleet(HOSTS);
    await fleet.acquire('a');
    await runRequests(fleet, HOSTS, 10);
    await fleet.run(1100);
    fleet.setBackMs = 2000;
    for (const name of HOSTS) fleet.startHost(name);
    await fleet.acquire('b');
    await runRequests(fleet, HOSTS, 20);
    await fleet.run(8000);
    const {reported, begun} = countAll(fleet);
    assert.equal(reported, begun);
  });

  // The live process passed for the one that it had replaced.
  it('count a host that started anew with a lower incarnation', async () => {
    const fleet = new UsageFleet(HOSTS);
    await fleet.acquire('a');
    await runRequests(fleet, HOSTS, 5);
    await fleet.run(500);
    fleet.setBackMs = 2000;
    fleet.startHost('d');
    await runRequests(fleet, HOSTS, 15);
    await fleet.run(1000);
    await fleet.acquire('b');
    await runRequests(fleet, HOSTS, 100);
    await fleet.run(8000);
    const {reported, begun} = countAll(fleet);
    assert.equal(reported, begun);
  });

  // What the checkpoint had of an unresponsive host counted as that of a lost
  // one, and once more when the host answered the next holder.
  for (const isKnown of [true, false]) {
    const known = isKnown ? 'knew' : 'did not know';
    it(`count a host once that its new holder ${known}`, async () => {
      const fleet = new UsageFleet(HOSTS);
      await fleet.acquire('a');
      await runRequests(fleet, HOSTS, 5);
      await fleet.run(500);
      fleet.cutOff.add('a');
      if (isKnown) await runRequests(fleet, ['a'], 8);
      else fleet.startHost('b');
      await fleet.run(1000);
      await fleet.acquire('b');
      await runRequests(fleet, ['b'], 15);
      fleet.cutOff.clear();
      // A report of what changed is no answer to the request for all counts.
      fleet.startRequest('a', 'first');
      await fleet.run(500);
      await fleet.acquire('c');
      await runRequests(fleet, HOSTS, 40);
      await fleet.run(8000);
      const {reported, begun} = countAll(fleet);
      assert.equal(reported, begun);
    });
  }

  // The excess of the checkpoint was hidden by the growth of the one host that
  // came back, or counted twice.
  it('count a lost host beside one that comes back', async () => {
    const fleet = new UsageFleet(HOSTS);
    await fleet.acquire('a');
    await runRequests(fleet, HOSTS, 10);
    await fleet.run(150);
    fleet.hosts.delete('d');
    fleet.cutOff.add('c');
    fleet.startHost('b');
    await fleet.acquire('b');
    await fleet.run(1000);
    fleet.cutOff.clear();
    await fleet.acquire('c');
    await fleet.run(700);
    await runRequests(fleet, ['a', 'b', 'c'], 10);
    await fleet.run(8000);
    const {reported, begun} = countAll(fleet);
    assert.equal(reported, begun);
  });

  // The host passed for heard after one part of its answer, so its other counts
  // went to the sum of lost hosts, and its next report added them again.
  it('count a host once of whose answer one part arrives', async () => {
    const fleet = new UsageFleet(HOSTS);
    await fleet.acquire('a');
    for (let index = 0; index < 100; index++) {
      fleet.startRequest('d', `team-${index}`);
    }
    await fleet.run(1500);
    // Only the first parts of both answers to the new holder arrive.
    fleet.isDatagramLost = (datagram) =>
      datagram.kind === 'begun-report' &&
      datagram.counts.every(({team}) => team !== 'team-0');
    fleet.startHost('b');
    await fleet.acquire('b');
    await fleet.run(700);
    fleet.isDatagramLost = () => false;
    await fleet.run(8000);
    const [report = {}] = fleet.listReports();
    const [begun = {}] = fleet.truth.values();
    assert.deepEqual(
      new Map(Object.entries(report)),
      new Map(Object.entries(begun)),
    );
  });
});
