/** The endpoints of a play. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {EndpointFleet, STREAM_SHAPE} from '@irisdock/soak';
import {SOAK_SERVICES, StoreStandin} from '@irisdock/users-platform/fixtures';

const DOWN_MS = 50;
/** Longer than a whole stream, in ms. */
const PAUSED_MS = 2000;

async function startFleet(
  store: StoreStandin,
  service: string = SOAK_SERVICES.calls,
): Promise<EndpointFleet> {
  const fleet = new EndpointFleet(store, ['zone-1'], {
    handleRun: () => undefined,
    handleArrival: () => undefined,
  });
  await fleet.add(service, 0);
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
    const ended = fleet.find(0);
    await fleet.kill(0, DOWN_MS);
    assert.ok(ended !== undefined && ended.harmedUntil > -Infinity);
    assert.equal(fleet.find(0)?.harmedUntil, -Infinity);
    fleet.stop();
    store.stop();
  });

  // Guards against one that crashed before its announced end and comes back.
  it('leave as announced and do not come back', async () => {
    const store = new StoreStandin();
    const fleet = await startFleet(store, SOAK_SERVICES.streams);
    await fleet.add(SOAK_SERVICES.streams, 1, true);
    const [, spot] = fleet.list(SOAK_SERVICES.streams);
    const seen: unknown[] = [];
    store.put = (_table, _key, entry) => seen.push(entry);
    const killed = fleet.kill(0, DOWN_MS);
    await Promise.all([
      fleet.removeAnnounced(0, DOWN_MS),
      fleet.removeAnnounced(1, DOWN_MS),
      killed,
    ]);
    assert.deepEqual(fleet.listPlaces(), []);
    assert.ok(spot !== undefined && spot.harmedUntil > -Infinity);
    const [first] = seen as Record<string, unknown>[];
    const {spot: isSpot, state, leaves_ms: leavesMs} = first ?? {};
    assert.deepEqual([isSpot, state, leavesMs], [true, 'draining', DOWN_MS]);
    fleet.stop();
    store.stop();
  });

  it('fail new streams, go on with begun ones and answer probes', async () => {
    const store = new StoreStandin();
    const fleet = await startFleet(store, SOAK_SERVICES.streams);
    const instance = fleet.find(0);
    assert.ok(instance);
    const url = `http://${instance.address}`;
    const begun = await fetch(`${url}/x`, {method: 'POST', body: 'one'});
    instance.streamFaults.push('fail');
    instance.limitLines = ['X-Irisdock-Server-Limit: 2'];
    const failed = await fetch(`${url}/x`, {method: 'POST'});
    assert.equal(failed.status, 500);
    assert.equal(failed.headers.get('x-irisdock-server-limit'), '2');
    assert.equal((await fetch(`${url}/-/report`)).status, 200);
    assert.equal(
      (await begun.text()).match(/^id: /gmu)?.length,
      STREAM_SHAPE.events,
    );
    fleet.stop();
    store.stop();
  });

  it('pause their streams and answer probes', async () => {
    const store = new StoreStandin();
    const fleet = await startFleet(store, SOAK_SERVICES.streams);
    const instance = fleet.find(0);
    assert.ok(instance);
    const url = `http://${instance.address}`;
    let isEnded = false;
    const begun = await fetch(`${url}/x`, {method: 'POST', body: 'one'});
    const text = begun.text().then((all) => {
      isEnded = true;
      return all;
    });
    instance.streamPause.start();
    await sleep(PAUSED_MS);
    assert.equal((await fetch(`${url}/-/report`)).status, 200);
    assert.ok(!isEnded);
    instance.streamPause.end();
    assert.equal((await text).match(/^id: /gmu)?.length, STREAM_SHAPE.events);
    fleet.stop();
    store.stop();
  });
});
