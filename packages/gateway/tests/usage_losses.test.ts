/** Usage reports after losses of hosts and holders, in simulated time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {UsageFleet} from './fixtures/usage_fleet.js';

const HOSTS = ['a', 'b', 'c', 'd'];

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
});
