/**
 * Tests which hosts may hold tasks when one of them reported that its calls for
 * tasks fail: all hosts leave it out, and nothing else follows. Guards against
 * a failed call that moves the readers of the store.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TaskExclusion} from '../src/services/task_exclusion.js';
import {TableFleet} from './fixtures/table_fleet.js';

const SETTLE_MS = 6000;
const FAILURE_MS = 10_000;
const OPTIONS = {hosts: 7, domains: 2, seed: 20261204};

/** Lists at each host what it derives from the records of all. */
function listViews(fleet: TableFleet, list: 'readers' | 'tasks'): string[] {
  return fleet.hosts.map(({peers}) => {
    if (list === 'readers') return peers.standing.listReaders().join();
    return [...peers.listTaskHostNames()].sort().join();
  });
}

describe('a host whose calls for tasks fail', () => {
  it('is no candidate anywhere, and the readers stay', async () => {
    const fleet = new TableFleet(OPTIONS);
    await fleet.start(SETTLE_MS);
    const readers = listViews(fleet, 'readers');
    const all = fleet.hosts.map(({name}) => name);
    assert.deepEqual(
      listViews(fleet, 'tasks'),
      all.map(() => all.join()),
    );
    const [failing] = fleet.listReaders(fleet.hosts[0]);
    assert.ok(failing);
    const exclusion = new TaskExclusion(fleet.clock);
    failing.peers.isTaskExcluded = () => exclusion.isExcluded;
    exclusion.recordStoreCall(false);
    await fleet.clock.run(FAILURE_MS / 2);
    const others = all.filter((name) => name !== failing.name).join();
    assert.deepEqual(
      listViews(fleet, 'tasks'),
      all.map(() => others),
    );
    assert.deepEqual(listViews(fleet, 'readers'), readers);
    await fleet.clock.run(FAILURE_MS);
    assert.deepEqual(
      listViews(fleet, 'tasks'),
      all.map(() => all.join()),
    );
    fleet.stop();
  });
});
