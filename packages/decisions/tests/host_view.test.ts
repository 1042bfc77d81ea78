/** What one host knows of the others, and what rides on its messages. */
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

const TIMES = {lostAfterMs: 100, forgetAfterMs: 1000};

function createRecord(
  name: string,
  incarnation: number,
  version: number,
  state: HostState = 'ready',
): HostRecord {
  return {name, incarnation, version, state, isStoreAway: false};
}

function createChange(
  record: HostRecord,
  isSuspected = false,
): HostUpdate<string> {
  return {record, isSuspected, place: `place of ${record.name}`};
}

function createView(): HostView<string> {
  const own = createRecord('own', 10, 1);
  return new HostView(own, 'own place', TIMES, ({version}) => version);
}

describe('the view of hosts', () => {
  it('leaves out of what callers get the suspected and the leaving', () => {
    const view = createView();
    view.accept(createChange(createRecord('a', 1, 1)), 0);
    view.accept(createChange(createRecord('b', 1, 1)), 0);
    view.accept(createChange(createRecord('c', 1, 1, 'leaving')), 0);
    assert.equal(view.listServing().length, 2);
    assert.equal(view.markSuspected('a', 10), true);
    const names = view.listServing().map(({record}) => record.name);
    assert.deepEqual(names, ['b']);
  });

  it('keeps what was known when nobody is alive any more', () => {
    const view = createView();
    view.accept(createChange(createRecord('a', 1, 1)), 0);
    view.accept(createChange(createRecord('b', 1, 1, 'leaving')), 0);
    for (const name of ['a', 'b']) view.markSuspected(name, 0);
    assert.equal(view.listServing().length, 1);
    assert.deepEqual(view.dropLost(101), []);
    assert.equal(view.find('a')?.standing, 'lost');
    assert.deepEqual(view.dropLost(1200), ['a', 'b']);
    assert.equal(view.listServing().length, 0);
  });

  it('does not go back to an older record', () => {
    const view = createView();
    const told = (incarnation: number, version: number): string =>
      view.accept(createChange(createRecord('a', incarnation, version)), 0);
    assert.equal(told(2, 5), 'fresh');
    assert.equal(told(2, 5), 'known');
    assert.equal(told(2, 4), 'known');
    assert.equal(told(1, 9), 'known');
    assert.equal(told(3, 1), 'fresh');
  });

  it('takes the same records in any order to the same end', () => {
    const changes = fc.array(
      fc.record({
        incarnation: fc.integer({min: 1, max: 3}),
        version: fc.integer({min: 1, max: 3}),
        isSuspected: fc.boolean(),
      }),
      {minLength: 1, maxLength: 12},
    );
    fc.assert(
      fc.property(changes, fc.integer(), (list, seed) => {
        const apply = (order: typeof list): unknown => {
          const view = createView();
          for (const {incarnation, version, isSuspected} of order) {
            const record = createRecord('a', incarnation, version);
            view.accept(createChange(record, isSuspected), 0);
          }
          const {record, standing} = view.find('a') ?? {};
          return {record, standing};
        };
        const random = new SeededRandom(seed);
        const other = [...list].sort(() => random.getInt(3) - 1);
        assert.deepEqual(apply(other), apply(list));
      }),
      RUN_OPTIONS,
    );
  });

  it('sets right who suspects its own host, or knows another life of it', () => {
    const view = createView();
    const own = view.ownRecord;
    assert.equal(view.accept(createChange(own, true), 0), 'refuted');
    assert.deepEqual(view.ownRecord, {...own, version: 2});
    assert.equal(view.accept(createChange(own, true), 0), 'known');
    const later = createRecord('own', 5000, 8);
    assert.equal(view.accept(createChange(later), 0), 'refuted');
    assert.equal(view.ownRecord.incarnation, 5001);
  });

  it('asks for the place of a host that it does not know', () => {
    const view = createView();
    const change = {...createChange(createRecord('a', 1, 7)), place: undefined};
    assert.equal(view.accept(change, 0), 'placeless');
    view.accept(createChange(createRecord('a', 1, 1)), 0);
    assert.equal(view.accept(change, 0), 'fresh');
    // Another life may be elsewhere.
    const other = {...change, record: createRecord('a', 2, 1)};
    assert.equal(view.accept(other, 0), 'placeless');
  });

  /*
   * A host that was started anew answered before others had its place, and was
   * taken for alive by the record of its earlier life, which said that it was
   * ready: it was chosen to read the store and had no copy of any table.
   */
  it('takes no word of a new life for one of the life before', () => {
    const view = createView();
    view.accept(createChange(createRecord('a', 1, 3)), 0);
    view.markSuspected('a', 0);
    assert.equal(view.markAlive(createRecord('a', 2, 1), 1), false);
    assert.equal(view.find('a')?.standing, 'suspected');
    assert.equal(view.markAlive(createRecord('a', 1, 3), 2), true);
  });

  it('has the same hash where the same records are known', () => {
    const names = ['a', 'b', 'c', 'd'];
    const fill = (order: readonly string[]): HostView<string> => {
      const view = createView();
      for (const name of order) {
        view.accept(createChange(createRecord(name, 1, name.length)), 0);
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

describe('the schedule of questions', () => {
  const alive = new Map(['a', 'b', 'c', 'd', 'e'].map((name) => [name, 0]));

  it('asks all in turn', () => {
    const schedule = new ProbeSchedule(new SeededRandom(1));
    const asked = new Set<string>();
    for (let beat = 0; beat < alive.size; beat++) {
      for (const name of schedule.planRound(alive, true, 1).probed) {
        asked.add(name);
        schedule.markHeard(name);
      }
    }
    assert.equal(asked.size, alive.size);
  });

  it('asks a silent host again through others, then names it', () => {
    const schedule = new ProbeSchedule(new SeededRandom(1));
    const [first = ''] = schedule.planRound(alive, true, 1).probed;
    const second = schedule.planRound(alive, true, 0);
    assert.deepEqual(second.indirect, [first]);
    assert.deepEqual(second.probed, [first]);
    assert.deepEqual(schedule.planRound(alive, true, 0).unresponsive, [first]);
  });

  it('names nobody when its own host hears nobody', () => {
    const schedule = new ProbeSchedule(new SeededRandom(1));
    for (let beat = 0; beat < 20; beat++) {
      const plan = schedule.planRound(alive, false, 1);
      assert.deepEqual(plan.unresponsive, []);
      assert.equal(plan.probed.length, 1);
    }
  });
});

describe('the changes that are told', () => {
  it('go out a few times each, the least told first, as far as they fit', () => {
    const queue = new GossipQueue();
    for (const name of ['a', 'b', 'c']) queue.add(name);
    const taken: string[] = [];
    for (let at = 0; at < 100; at++) taken.push(...queue.take(2, 7, () => 1));
    const times = ['a', 'b', 'c'].map(
      (name) => taken.filter((one) => one === name).length,
    );
    assert.deepEqual(times, [6, 6, 6]);
    assert.equal(queue.size, 0);
    assert.deepEqual(new Set(taken.slice(0, 3)), new Set(['a', 'b', 'c']));
  });
});

describe('the reports of those who read the store', () => {
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

  it('grow old on the way, and lapse', () => {
    const reports = new ReaderReports();
    reports.accept(createReport({departureDelayMs: 700}), 1000);
    assert.equal(reports.getConfigurationAgeMs(5, 1300), 400);
    assert.equal(reports.getDepartureDelayMs(1300), 400);
    // Passed on and back again, the same report does not live on.
    for (const report of reports.list(2000)) reports.accept(report, 2000);
    assert.equal(reports.getConfigurationAgeMs(5, 2000), 1100);
    assert.equal(reports.getConfigurationAgeMs(5, 3600), Infinity);
    assert.equal(reports.getDepartureDelayMs(3600), undefined);
  });

  /*
   * Simulated at rest, 60 hosts went on telling each other of 31 readers of
   * which 28 had stopped reading half a minute before (2600 bytes a message in
   * place of 600): a host that had dropped a report took it as new from the
   * next one that still had it. So the word of a reader long gone also decided
   * how long vanished endpoints stay in use.
   */
  it('lapse among hosts that keep telling each other of them', () => {
    const hosts = Array.from({length: 4}, () => new ReaderReports());
    hosts[0]?.accept(createReport({}), 0);
    for (let now = 0; now <= 20_000; now += 300) {
      // The last one first, so that each hop takes a beat.
      for (const [at, host] of [...hosts.entries()].reverse()) {
        const next = hosts[(at + 1) % hosts.length];
        for (const report of host.list(now)) next?.accept(report, now);
      }
    }
    for (const host of hosts) assert.deepEqual(host.list(20_300), []);
  });

  it('are taken again from a reader that reads again', () => {
    const reports = new ReaderReports();
    reports.accept(createReport({}), 0);
    assert.deepEqual(reports.list(5000), []);
    reports.accept(createReport({sequence: 2}), 6000);
    assert.equal(reports.list(6000).length, 1);
  });

  it('say nothing of a copy that lacks what the reader knows', () => {
    const reports = new ReaderReports();
    reports.accept(createReport({}), 0);
    assert.equal(reports.getConfigurationAgeMs(4, 0), Infinity);
  });

  it('take the word of who reached the store throughout', () => {
    const reports = new ReaderReports();
    reports.accept(createReport({departureDelayMs: 60_000}), 0);
    reports.accept(createReport({name: 'other'}), 0);
    assert.equal(reports.getDepartureDelayMs(0), 0);
    reports.accept(createReport({name: 'other', incarnation: 0}), 0);
    assert.equal(reports.list(0).length, 2);
  });
});
