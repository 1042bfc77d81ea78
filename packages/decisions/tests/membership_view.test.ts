/** Hosts see each other come, go, part and meet again. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseWatchTargets,
  MembershipView,
  type MemberNote,
  type MemberState,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const TIMES = {
  suspectAfterMs: 1500,
  deadAfterMs: 3000,
  goneAfterMs: 1000,
  forgetAfterMs: 60_000,
};
const STEP_MS = 250;

function createNote(at: number, change: Partial<MemberNote> = {}): MemberNote {
  const hostId = `h${String(at).padStart(3, '0')}`;
  return {
    hostId,
    incarnation: '1',
    sequence: 1,
    state: 'live',
    callerAddress: `${hostId}:1`,
    peerAddress: `${hostId}:2`,
    failureDomain: 'abc'[at % 3] ?? '',
    revision: 0,
    ...change,
  };
}

/** Hosts whose watches carry notes; a test says which links are cut. */
class Fleet {
  readonly views: MembershipView[];
  readonly stopped = new Set<number>();
  messages = 0;
  private now = 0;

  constructor(
    size: number,
    private readonly isCut: (from: number, to: number) => boolean,
  ) {
    const peers = new Map<string, 'live'>();
    for (let at = 0; at < size; at++) {
      peers.set(createNote(at).peerAddress, 'live');
    }
    this.views = Array.from({length: size}, (_, at) => {
      const view = new MembershipView(createNote(at), TIMES);
      view.applyHostList(peers, 0);
      return view;
    });
  }

  runUntil(ms: number): void {
    while (this.now < ms) this.step();
  }

  getState(seenBy: number, of: number): MemberState | undefined {
    return this.views[seenBy]?.find(createNote(of).hostId)?.state;
  }

  private step(): void {
    this.now += STEP_MS;
    for (const [at, view] of this.views.entries()) {
      if (this.stopped.has(at)) continue;
      const watched = view.listWatchTargets().map((note) => note.hostId);
      view.setWatched(watched, this.now);
      for (const target of this.listTargets(view)) this.watch(at, target);
      view.applyTimeouts(this.now);
    }
  }

  private listTargets(view: MembershipView): number[] {
    const watched = view.listWatchTargets().map((note) => note.peerAddress);
    const seeds = view.listReconnectPeers(2, this.now);
    return [...watched, ...seeds].map((address) => Number(address.slice(1, 4)));
  }

  /** One exchange over a watch: own note there, everything back. */
  private watch(watcher: number, target: number): void {
    const here = this.views[watcher];
    const there = this.views[target];
    if (here === undefined || there === undefined) return;
    const {hostId, incarnation} = there.self;
    if (this.stopped.has(target)) return;
    if (this.isCut(watcher, target) || this.isCut(target, watcher)) return;
    this.messages++;
    there.applyNotes([here.self], this.now);
    const {sequence} = here.self;
    here.applyNotes(there.list(), this.now);
    here.recordHeartbeat(hostId, incarnation, this.now);
    if (here.self.sequence !== sequence) {
      there.applyNotes([here.self], this.now);
    }
  }
}

const NO_CUT = (): boolean => false;

describe('MembershipView', () => {
  it('makes every host known to every other', () => {
    const fleet = new Fleet(40, NO_CUT);
    fleet.runUntil(5000);
    for (const view of fleet.views) {
      assert.equal(view.listServing().length, 40);
    }
  });

  it('takes a dead host out for all, and no other', () => {
    const fleet = new Fleet(40, NO_CUT);
    fleet.runUntil(5000);
    fleet.stopped.add(7);
    fleet.runUntil(15_000);
    for (const [at, view] of fleet.views.entries()) {
      if (at === 7) continue;
      assert.equal(fleet.getState(at, 7), 'dead');
      assert.equal(view.listServing().length, 39);
    }
  });

  it('takes a host back that was silent for a while', () => {
    const fleet = new Fleet(9, NO_CUT);
    fleet.runUntil(3000);
    fleet.stopped.add(4);
    fleet.runUntil(12_000);
    assert.equal(fleet.getState(0, 4), 'dead');
    fleet.stopped.delete(4);
    fleet.runUntil(15_000);
    for (const view of fleet.views) {
      assert.equal(view.listServing().length, 9);
    }
  });

  it('parts and meets again with the links between two sides', () => {
    let cut = false;
    const isCut = (a: number, b: number): boolean => cut && a < 3 !== b < 3;
    const fleet = new Fleet(9, isCut);
    fleet.runUntil(3000);
    cut = true;
    fleet.runUntil(12_000);
    const small = fleet.views[0]?.countHosts();
    const large = fleet.views[5]?.countHosts();
    assert.deepEqual(small, {heard: 3, known: 9});
    assert.deepEqual(large, {heard: 6, known: 9});
    cut = false;
    fleet.runUntil(16_000);
    for (const view of fleet.views) {
      assert.equal(view.listServing().length, 9);
    }
  });

  it('keeps a host that one watcher cannot reach', () => {
    // The host contradicts by way of others, so nobody else loses it.
    const isCut = (a: number, b: number): boolean => a === 0 && b === 1;
    const fleet = new Fleet(9, isCut);
    fleet.runUntil(20_000);
    for (let at = 2; at < 9; at++) {
      assert.notEqual(fleet.getState(at, 1), 'dead');
    }
  });

  describe('with a host whose address refuses connections', () => {
    function createRefused(): MembershipView {
      const view = new MembershipView(createNote(0), TIMES);
      view.applyNotes([createNote(1)], 0);
      const news = view.recordConnectionRefused(createNote(1).hostId, 100);
      assert.deepEqual(news, [createNote(1, {state: 'suspect'})]);
      return view;
    }

    function getState(view: MembershipView): MemberState | undefined {
      return view.find(createNote(1).hostId)?.state;
    }

    it('gives it no more callers at once, and takes it for dead sooner', () => {
      const view = createRefused();
      assert.deepEqual(view.listServing(), [view.self]);
      view.applyTimeouts(100 + TIMES.goneAfterMs - 1);
      assert.equal(getState(view), 'suspect');
      view.applyTimeouts(100 + TIMES.goneAfterMs);
      assert.equal(getState(view), 'dead');
    });

    it('waits longer for one that is merely silent', () => {
      const view = new MembershipView(createNote(0), TIMES);
      view.applyNotes([createNote(1, {state: 'suspect'})], 100);
      view.applyTimeouts(100 + TIMES.goneAfterMs);
      assert.equal(getState(view), 'suspect');
    });

    it('shortens the wait for one that was silent before', () => {
      const view = new MembershipView(createNote(0), TIMES);
      view.applyNotes([createNote(1, {state: 'suspect'})], 100);
      assert.deepEqual(
        view.recordConnectionRefused(createNote(1).hostId, 200),
        [],
      );
      view.applyTimeouts(100 + TIMES.goneAfterMs);
      assert.equal(getState(view), 'dead');
    });

    it('believes its contradiction, and doubts it not on and on', () => {
      const view = createRefused();
      view.applyNotes([createNote(1, {sequence: 2})], 200);
      assert.equal(getState(view), 'live');
      const {hostId} = createNote(1);
      const until = 200 + TIMES.suspectAfterMs;
      assert.deepEqual(view.recordConnectionRefused(hostId, until - 1), []);
      assert.equal(getState(view), 'live');
      view.recordConnectionRefused(hostId, until);
      assert.equal(getState(view), 'suspect');
    });

    it('takes its next incarnation back at once', () => {
      const view = createRefused();
      view.applyNotes([createNote(1, {incarnation: '2'})], 200);
      assert.equal(getState(view), 'live');
      view.applyTimeouts(200 + TIMES.goneAfterMs);
      assert.equal(getState(view), 'live');
    });

    it('says nothing of one that is not known', () => {
      const view = new MembershipView(createNote(0), TIMES);
      assert.deepEqual(view.recordConnectionRefused('nobody', 0), []);
    });
  });

  it('marks as leaving what the lagging list shows as leaving', () => {
    const view = new MembershipView(createNote(0), TIMES);
    view.applyNotes([createNote(1)], 0);
    const peers = new Map([[createNote(1).peerAddress, 'leaving' as const]]);
    const news = view.applyHostList(peers, 10);
    assert.deepEqual(news, [createNote(1, {state: 'leaving'})]);
    assert.deepEqual(view.listServing(), [view.self]);
  });

  it('takes notes in any order to the same end', () => {
    const notes = fc.array(
      fc.record({
        incarnation: fc.constantFrom('1', '2'),
        sequence: fc.integer({min: 1, max: 3}),
        state: fc.constantFrom<MemberState>(
          'live',
          'leaving',
          'suspect',
          'dead',
        ),
      }),
      {minLength: 1, maxLength: 8},
    );
    fc.assert(
      fc.property(notes, fc.nat(), (changes, seed) => {
        const given = changes.map((change) => createNote(1, change));
        const turned = given.map(
          (_, at) => given[(at + seed) % given.length] ?? createNote(1),
        );
        const ends = [given, turned].map((list) => {
          const view = new MembershipView(createNote(0), TIMES);
          for (const note of list) view.applyNotes([note], 0);
          return view.find(createNote(1).hostId);
        });
        assert.deepEqual(ends[0], ends[1]);
      }),
      RUN_OPTIONS,
    );
  });
});

describe('chooseWatchTargets', () => {
  const sizes = [1, 2, 9, 12, 13, 40, 350];
  for (const size of sizes) {
    it(`gives every one of ${size} hosts the same number of watchers`, () => {
      const hosts = Array.from({length: size}, (_, at) => `h${at}`);
      const watchers = new Map<string, number>();
      for (const host of hosts) {
        for (const target of chooseWatchTargets(host, hosts)) {
          watchers.set(target, (watchers.get(target) ?? 0) + 1);
        }
      }
      const counts = new Set(hosts.map((host) => watchers.get(host) ?? 0));
      assert.equal(counts.size, 1);
      const wanted = size <= 12 ? size - 1 : 4;
      assert.ok(counts.has(wanted), [...counts].join(' '));
    });
  }
});
