/**
 * Which request contents the crash ledger refuses, from the endpoint instances
 * that ended while they ran them.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {
  CrashLedger,
  decideContentNaively,
  MAX_CRASHES,
  REFUSAL_THRESHOLD,
  type Crash,
} from '@irisdock/decisions';

const KEEP_MS = 1000;

/** The instances of the first runs of two or three bad contents. */
const FIRST_RUNS = fc.array(fc.constantFrom('a', 'b', 'c'), {
  minLength: 2,
  maxLength: 3,
});

function createLedger(maxContents = 100): CrashLedger {
  return new CrashLedger({keepMs: KEEP_MS, maxContents});
}

function addAll(ledger: CrashLedger, crashes: readonly Crash[]): void {
  for (const crash of crashes) ledger.add(crash, 0);
}

/** @param instances The ids of the instances that ended, with spaces between. */
function createCrashes(content: string, instances: string): Crash[] {
  return instances.split(' ').map((instanceId) => ({content, instanceId}));
}

describe('CrashLedger', () => {
  it('refuses a content after three crashes', () => {
    const ledger = createLedger();
    assert.equal(ledger.decide('bad'), 'clear');
    addAll(ledger, createCrashes('bad', 'a b'));
    assert.equal(ledger.decide('bad'), 'suspected');
    addAll(ledger, createCrashes('bad', 'c'));
    assert.equal(ledger.decide('bad'), 'refused');
  });

  it('counts a crash that is reported twice once', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('bad', 'a a a b b'));
    assert.equal(ledger.countCrashes('bad'), 2);
    assert.equal(ledger.decide('bad'), 'suspected');
  });

  it('serves a content that ran beside a bad one on three endpoints', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('sound', 'a b c'));
    addAll(ledger, createCrashes('bad', 'a b c'));
    // They cannot be told apart yet: each runs once more in isolation.
    assert.equal(ledger.decide('sound'), 'suspected');
    assert.equal(ledger.decide('bad'), 'suspected');
    addAll(ledger, createCrashes('bad', 'd'));
    assert.equal(ledger.decide('bad'), 'refused');
    assert.equal(ledger.decide('sound'), 'suspected');
  });

  // Guards against refusing a content because it ran beside two bad ones.
  it('serves a content that ran beside two bad ones in turn', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('sound', 'a b c d'));
    addAll(ledger, createCrashes('bad', 'a b e'));
    addAll(ledger, createCrashes('bad too', 'c d f'));
    assert.equal(ledger.decide('sound'), 'suspected');
    assert.equal(ledger.decide('bad'), 'refused');
    assert.equal(ledger.decide('bad too'), 'refused');
  });

  // Guards against refusing a content before the second bad one ran alone.
  it('does not refuse a content that was never the sole suspect', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('sound', 'a b c d'));
    addAll(ledger, createCrashes('bad', 'a b'));
    addAll(ledger, createCrashes('bad too', 'c d'));
    assert.equal(ledger.decide('sound'), 'suspected');
  });

  // Guards against sound streams that wait for each other's leases after a bad
  // content ended the engine of both.
  it('has no evidence against a content whose crashes others explain', () => {
    const ledger = createLedger();
    assert.equal(ledger.hasEvidence('sound'), false);
    addAll(ledger, createCrashes('sound', 'a'));
    addAll(ledger, createCrashes('bad', 'a'));
    assert.equal(ledger.hasEvidence('sound'), true);
    addAll(ledger, createCrashes('bad', 'b'));
    assert.equal(ledger.hasEvidence('sound'), false);
    assert.equal(ledger.hasEvidence('bad'), true);
    addAll(ledger, createCrashes('sound', 'c'));
    assert.equal(ledger.hasEvidence('sound'), true);
  });

  // Guards against a bad content that runs without a lease, at several hosts at
  // once, as a sound one that met two bad ones passes for the cause.
  it('has evidence against bad contents beside a sound one that met both', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('sound', 'a b'));
    addAll(ledger, createCrashes('bad', 'a'));
    addAll(ledger, createCrashes('bad too', 'b'));
    assert.equal(ledger.hasEvidence('bad'), true);
    assert.equal(ledger.hasEvidence('bad too'), true);
  });

  it('refuses two bad contents that always ran together', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('one', 'a b c'));
    addAll(ledger, createCrashes('two', 'a b c'));
    const instances = ['d', 'e', 'f', 'g', 'h', 'i'];
    for (const content of ['one', 'two', 'one', 'two', 'one', 'two']) {
      if (ledger.decide(content) === 'refused') continue;
      addAll(ledger, createCrashes(content, instances.pop() ?? ''));
    }
    assert.equal(ledger.decide('one'), 'refused');
    assert.equal(ledger.decide('two'), 'refused');
    assert.ok(ledger.countCrashes('one') <= MAX_CRASHES);
    assert.ok(ledger.countCrashes('two') <= MAX_CRASHES);
  });

  // Guards against a shared crash that counts against none of two bad contents
  // in full, or moves from a refused one to the other: each was run again.
  it('refuses bad contents after three ended endpoints each, shared or not', () => {
    fc.assert(
      fc.property(FIRST_RUNS, fc.array(fc.nat()), (firstRuns, order) => {
        const ledger = createLedger();
        const contents = firstRuns.map((_, number) => `bad ${number}`);
        for (const [number, instanceId] of firstRuns.entries()) {
          addAll(ledger, createCrashes(`bad ${number}`, instanceId));
        }
        const ended = new Set<string>(firstRuns);
        for (let turn = 0; ; turn++) {
          const served = contents.filter((content) => {
            return ledger.decide(content) !== 'refused';
          });
          const content = served[(order[turn] ?? 0) % served.length];
          if (content === undefined) break;
          addAll(ledger, createCrashes(content, `alone-${turn}`));
          ended.add(`alone-${turn}`);
        }
        assert.ok(ended.size <= REFUSAL_THRESHOLD * contents.length);
      }),
      {seed: 40, numRuns: 500},
    );
  });

  it('drops contents on request and after the retention time', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('bad', 'a b c'));
    ledger.drop('bad');
    assert.equal(ledger.decide('bad'), 'clear');
    addAll(ledger, createCrashes('bad', 'a b c'));
    ledger.add({content: 'late', instanceId: 'a'}, KEEP_MS / 2);
    assert.deepEqual(ledger.dropExpired(KEEP_MS), ['bad']);
    assert.equal(ledger.decide('bad'), 'clear');
    assert.equal(ledger.decide('late'), 'suspected');
  });

  it('drops single crashes', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('bad', 'a b c'));
    ledger.dropCrash({content: 'bad', instanceId: 'a'});
    assert.equal(ledger.decide('bad'), 'suspected');
    ledger.dropCrash({content: 'bad', instanceId: 'b'});
    ledger.dropCrash({content: 'bad', instanceId: 'c'});
    assert.equal(ledger.size, 0);
  });

  it('keeps a bounded number of contents', () => {
    const ledger = createLedger(10);
    for (let count = 0; count < 50; count++) {
      addAll(ledger, createCrashes(`content-${count}`, 'a'));
    }
    assert.equal(ledger.size, 10);
    assert.equal(ledger.decide('content-49'), 'suspected');
  });

  it('agrees with the reference implementation', () => {
    const crash = fc.record({
      content: fc.constantFrom('k', 'l', 'm', 'n'),
      instanceId: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'),
    });
    fc.assert(
      fc.property(fc.array(crash, {maxLength: 30}), (crashes) => {
        const ledger = createLedger();
        addAll(ledger, crashes);
        for (const content of ['k', 'l', 'm', 'n']) {
          assert.equal(
            ledger.decide(content),
            decideContentNaively(crashes, content),
          );
        }
      }),
      {seed: 30, numRuns: 500},
    );
  });
});
