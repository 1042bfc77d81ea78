/**
 * The member list of a host, its probe schedule, the queue of updates, and the
 * reports of hosts that read the store.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  GossipQueue,
  HostView,
  ProbeSchedule,
  ReaderReports,
  type HostUpdate,
  type HostRecord,
  type HostState,
  type ReaderReport,
} from '@irisdock/decisions';
import {SeededRandom} from '@irisdock/kernel';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const TIMEOUTS = {lostAfterMs: 100, forgetAfterMs: 1000};

function createRecord(
  name: string,
  incarnation: number,
  version: number,
  state: HostState = 'ready',
): HostRecord {
  return {name, incarnation, version, state, isStoreAway: false};
}

function createUpdate(
  record: HostRecord,
  isSuspected = false,
): HostUpdate<string> {
  return {record, isSuspected, place: `place of ${record.name}`};
}

function createView(): HostView<string> {
  const own = createRecord('own', 10, 1);
  return new HostView(own, 'own place', TIMEOUTS, ({version}) => version);
}

describe('HostView', () => {
  it('sends callers to no host that is suspected or leaving', () => {
    const view = createView();
    view.accept(createUpdate(createRecord('a', 1, 1)), 0);
    view.accept(createUpdate(createRecord('b', 1, 1)), 0);
    view.accept(createUpdate(createRecord('c', 1, 1, 'leaving')), 0);
    assert.equal(view.listServing().length, 2);
    assert.equal(view.markSuspected('a', 10), true);
    const names = view.listServing().map(({record}) => record.name);
    assert.deepEqual(names, ['b']);
  });

  it('keeps listing serving hosts when none seems alive any more', () => {
    const view = createView();
    view.accept(createUpdate(createRecord('a', 1, 1)), 0);
    view.accept(createUpdate(createRecord('b', 1, 1, 'leaving')), 0);
    for (const name of ['a', 'b']) view.markSuspected(name, 0);
    assert.equal(view.listServing().length, 1);
    assert.deepEqual(view.dropLost(101), []);
    assert.equal(view.find('a')?.standing, 'lost');
    assert.deepEqual(view.dropLost(1200), ['a', 'b']);
    assert.equal(view.listServing().length, 0);
  });

  it('does not go back to an older record', () => {
    const view = createView();
    const accept = (incarnation: number, version: number): string =>
      view.accept(createUpdate(createRecord('a', incarnation, version)), 0);
    assert.equal(accept(2, 5), 'fresh');
    assert.equal(accept(2, 5), 'known');
    assert.equal(accept(2, 4), 'known');
    assert.equal(accept(1, 9), 'known');
    assert.equal(accept(3, 1), 'fresh');
  });

  it('ends in the same state whatever the order of records', () => {
    const updates = fc.array(
      fc.record({
        incarnation: fc.integer({min: 1, max: 3}),
        version: fc.integer({min: 1, max: 3}),
        isSuspected: fc.boolean(),
      }),
      {minLength: 1, maxLength: 12},
    );
    fc.assert(
      fc.property(updates, fc.integer(), (list, seed) => {
        const apply = (order: typeof list): unknown => {
          const view = createView();
          for (const {incarnation, version, isSuspected} of order) {
            const record = createRecord('a', incarnation, version);
            view.accept(createUpdate(record, isSuspected), 0);
          }
          const {record, standing} = view.find('a') ?? {};
          return {record, standing};
        };
        const random = new SeededRandom(seed);
        const reordered = [...list].sort(() => random.getInt(3) - 1);
        assert.deepEqual(apply(reordered), apply(list));
      }),
      RUN_OPTIONS,
    );
  });

  it('refutes a suspicion of its own host and a higher incarnation', () => {
    const view = createView();
    const own = view.ownRecord;
    assert.equal(view.accept(createUpdate(own, true), 0), 'refuted');
    assert.deepEqual(view.ownRecord, {...own, version: 2});
    assert.equal(view.accept(createUpdate(own, true), 0), 'known');
    const higher = createRecord('own', 5000, 8);
    assert.equal(view.accept(createUpdate(higher), 0), 'refuted');
    assert.equal(view.ownRecord.incarnation, 5001);
  });

  it('ignores an update that lacks the place of an unknown host', () => {
    const view = createView();
    const update = {...createUpdate(createRecord('a', 1, 7)), place: undefined};
    assert.equal(view.accept(update, 0), 'unknown_place');
    view.accept(createUpdate(createRecord('a', 1, 1)), 0);
    assert.equal(view.accept(update, 0), 'fresh');
    // Another incarnation may run elsewhere.
    const other = {...update, record: createRecord('a', 2, 1)};
    assert.equal(view.accept(other, 0), 'unknown_place');
  });

  /*
   * Guards against a restarted host that is believed to be ready because of the
   * record of its previous incarnation: it answered before others had its new
   * place, and was chosen to read the store without a replica of any table.
   */
  it('does not mark an earlier incarnation alive by a new one', () => {
    const view = createView();
    view.accept(createUpdate(createRecord('a', 1, 3)), 0);
    view.markSuspected('a', 0);
    assert.equal(view.markAlive(createRecord('a', 2, 1), 1), false);
    assert.equal(view.find('a')?.standing, 'suspected');
    assert.equal(view.markAlive(createRecord('a', 1, 3), 2), true);
  });

  it('has the same hash if the same records are known', () => {
    const names = ['a', 'b', 'c', 'd'];
    const fill = (order: readonly string[]): HostView<string> => {
      const view = createView();
      for (const name of order) {
        view.accept(createUpdate(createRecord(name, 1, name.length)), 0);
      }
      return view;
    };
    const one = fill(names);
    const other = fill([...names].reverse());
    assert.equal(one.recordsHash, other.recordsHash);
    other.markSuspected('b', 0);
    assert.notEqual(one.recordsHash, other.recordsHash);
    other.markAlive(createRecord('b', 1, 1), 1);
    assert.equal(one.recordsHash, other.recordsHash);
  });
});

describe('ProbeSchedule', () => {
  const alive = new Map(['a', 'b', 'c', 'd', 'e'].map((name) => [name, 0]));

  it('probes all hosts in turn', () => {
    const schedule = new ProbeSchedule(new SeededRandom(1));
    const probed = new Set<string>();
    for (let beat = 0; beat < alive.size; beat++) {
      for (const name of schedule.planRound(alive, true, 1).probed) {
        probed.add(name);
        schedule.markHeard(name);
      }
    }
    assert.equal(probed.size, alive.size);
  });

  it('probes a silent host again through relays, then reports it', () => {
    const schedule = new ProbeSchedule(new SeededRandom(1));
    const [first = ''] = schedule.planRound(alive, true, 1).probed;
    const second = schedule.planRound(alive, true, 0);
    assert.deepEqual(second.indirect, [first]);
    assert.deepEqual(second.probed, [first]);
    assert.deepEqual(schedule.planRound(alive, true, 0).unresponsive, [first]);
  });

  it('reports no host when its own host receives nothing', () => {
    const schedule = new ProbeSchedule(new SeededRandom(1));
    for (let beat = 0; beat < 20; beat++) {
      const plan = schedule.planRound(alive, false, 1);
      assert.deepEqual(plan.unresponsive, []);
      assert.equal(plan.probed.length, 1);
    }
  });
});

describe('GossipQueue', () => {
  it('sends each update a few times, those sent least often first', () => {
    const queue = new GossipQueue();
    for (const name of ['a', 'b', 'c']) queue.add(name);
    const taken: string[] = [];
    for (let at = 0; at < 100; at++) taken.push(...queue.take(2, 7, () => 1));
    const counts = ['a', 'b', 'c'].map(
      (name) => taken.filter((other) => other === name).length,
    );
    assert.deepEqual(counts, [6, 6, 6]);
    assert.equal(queue.size, 0);
    assert.deepEqual(new Set(taken.slice(0, 3)), new Set(['a', 'b', 'c']));
  });
});

describe('ReaderReports', () => {
  function createReport(change: Partial<ReaderReport>): ReaderReport {
    return {
      name: 'reader',
      incarnation: 1,
      sequence: 1,
      configurationRevision: 5,
      configurationAgeMs: 100,
      departureDelayMs: 0,
      ...change,
    };
  }

  it('ages reports on the way and lets them expire', () => {
    const reports = new ReaderReports();
    reports.accept(createReport({departureDelayMs: 700}), 1000);
    assert.equal(reports.getConfigurationAgeMs(5, 1300), 400);
    assert.equal(reports.getDepartureDelayMs(1300), 400);
    // Forwarding a report and receiving it again does not renew it.
    for (const report of reports.list(2000)) reports.accept(report, 2000);
    assert.equal(reports.getConfigurationAgeMs(5, 2000), 1100);
    assert.equal(reports.getConfigurationAgeMs(5, 3600), Infinity);
    assert.equal(reports.getDepartureDelayMs(3600), undefined);
  });

  /*
   * Guards against reports that never expire: a host that had dropped a report
   * accepted it again from one that still had it. In a simulation 60 hosts kept
   * forwarding reports of 31 readers, 28 of which had stopped reading half a
   * minute before. Messages grew from 600 to 2600 bytes, and outdated reports
   * decided how long vanished endpoints stay in use.
   */
  it('lets reports expire among hosts that keep forwarding them', () => {
    const hosts = Array.from({length: 4}, () => new ReaderReports());
    hosts[0]?.accept(createReport({}), 0);
    for (let now = 0; now <= 20_000; now += 300) {
      // In reverse order, so that each hop takes a beat.
      for (const [index, host] of [...hosts.entries()].reverse()) {
        const next = hosts[(index + 1) % hosts.length];
        for (const report of host.list(now)) next?.accept(report, now);
      }
    }
    for (const host of hosts) assert.deepEqual(host.list(20_300), []);
  });

  it('accepts a reader again that reads again', () => {
    const reports = new ReaderReports();
    reports.accept(createReport({}), 0);
    assert.deepEqual(reports.list(5000), []);
    reports.accept(createReport({sequence: 2}), 6000);
    assert.equal(reports.list(6000).length, 1);
  });

  it('gives no age to a replica that lacks changes the reader knows', () => {
    const reports = new ReaderReports();
    reports.accept(createReport({}), 0);
    assert.equal(reports.getConfigurationAgeMs(4, 0), Infinity);
  });

  it('prefers a reader that was connected to the store throughout', () => {
    const reports = new ReaderReports();
    reports.accept(createReport({departureDelayMs: 60_000}), 0);
    reports.accept(createReport({name: 'other'}), 0);
    assert.equal(reports.getDepartureDelayMs(0), 0);
    reports.accept(createReport({name: 'other', incarnation: 0}), 0);
    assert.equal(reports.list(0).length, 2);
  });
});
