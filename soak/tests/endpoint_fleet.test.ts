/** The endpoints of a play. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EndpointFleet} from '@irisdock/soak';
import {SOAK_SERVICES, StoreStandin} from '@irisdock/users-platform/fixtures';

const DOWN_MS = 50;

async function startFleet(store: StoreStandin): Promise<EndpointFleet> {
  const fleet = new EndpointFleet(
    store,
    ['zone-1'],
    () => undefined,
    () => undefined,
  );
  await fleet.add(SOAK_SERVICES.calls, 0);
  return fleet;
}

describe('the endpoints of a play', () => {
  // One that came back after the end of its play listened for good, and the play's
  // process did not end.
  it('do not come back once the play is over', async () => {
    const store = new StoreStandin();
    const fleet = await startFleet(store);
    const killed = fleet.kill(0, DOWN_MS);
    fleet.stop();
    await killed;
    assert.equal(fleet.find(0), undefined);
    store.stop();
  });

  it('come back while the play goes on', async () => {
    const store = new StoreStandin();
    const fleet = await startFleet(store);
    await fleet.kill(0, DOWN_MS);
    assert.ok(fleet.find(0) !== undefined);
    fleet.stop();
    store.stop();
  });
});
