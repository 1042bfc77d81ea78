/** Which contents are refused, by the endpoints that ended under them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {
  CrashLedger,
  decideContentNaively,
  MAX_CRASHES,
  type Crash,
} from '@irisdock/decisions';

const KEEP_MS = 1000;

function createLedger(maxContents = 100): CrashLedger {
  return new CrashLedger({keepMs: KEEP_MS, maxContents});
}

function addAll(ledger: CrashLedger, crashes: readonly Crash[]): void {
  for (const crash of crashes) ledger.add(crash, 0);
}

function createCrashes(content: string, starts: string): Crash[] {
  return starts.split(' ').map((instanceId) => ({content, instanceId}));
}

describe('a ledger of crashes', () => {
  it('refuses a content after three crashes', () => {
    const ledger = createLedger();
    assert.equal(ledger.decide('bad'), 'clear');
    addAll(ledger, createCrashes('bad', 'a b'));
    assert.equal(ledger.decide('bad'), 'suspected');
    addAll(ledger, createCrashes('bad', 'c'));
    assert.equal(ledger.decide('bad'), 'refused');
  });

  it('counts a crash that is told twice once', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('bad', 'a a a b b'));
    assert.equal(ledger.countCrashes('bad'), 2);
    assert.equal(ledger.decide('bad'), 'suspected');
  });

  it('serves what ran beside a bad content on three endpoints', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('sound', 'a b c'));
    addAll(ledger, createCrashes('bad', 'a b c'));
    // They look alike: both run once more, apart.
    assert.equal(ledger.decide('sound'), 'suspected');
    assert.equal(ledger.decide('bad'), 'suspected');
    addAll(ledger, createCrashes('bad', 'd'));
    assert.equal(ledger.decide('bad'), 'refused');
    assert.equal(ledger.decide('sound'), 'suspected');
  });

  // Guards against a content that is refused for having met two bad ones.
  it('serves what ran beside two bad contents in turn', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('sound', 'a b c d'));
    addAll(ledger, createCrashes('bad', 'a b e'));
    addAll(ledger, createCrashes('bad too', 'c d f'));
    assert.equal(ledger.decide('sound'), 'suspected');
    assert.equal(ledger.decide('bad'), 'refused');
    assert.equal(ledger.decide('bad too'), 'refused');
  });

  // Guards against a refusal before the second bad content ran alone.
  it('does not refuse what never ran without another suspect', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('sound', 'a b c d'));
    addAll(ledger, createCrashes('bad', 'a b'));
    addAll(ledger, createCrashes('bad too', 'c d'));
    assert.equal(ledger.decide('sound'), 'suspected');
  });

  it('refuses two bad contents that met all the time', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('one', 'a b c'));
    addAll(ledger, createCrashes('two', 'a b c'));
    const starts = ['d', 'e', 'f', 'g', 'h', 'i'];
    for (const content of ['one', 'two', 'one', 'two', 'one', 'two']) {
      if (ledger.decide(content) === 'refused') continue;
      addAll(ledger, createCrashes(content, starts.pop() ?? ''));
    }
    assert.equal(ledger.decide('one'), 'refused');
    assert.equal(ledger.decide('two'), 'refused');
    assert.ok(ledger.countCrashes('one') <= MAX_CRASHES);
    assert.ok(ledger.countCrashes('two') <= MAX_CRASHES);
  });

  it('forgets what ended well, and what had no crash for long', () => {
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

  it('forgets single crashes', () => {
    const ledger = createLedger();
    addAll(ledger, createCrashes('bad', 'a b c'));
    ledger.dropCrash({content: 'bad', instanceId: 'a'});
    assert.equal(ledger.decide('bad'), 'suspected');
    ledger.dropCrash({content: 'bad', instanceId: 'b'});
    ledger.dropCrash({content: 'bad', instanceId: 'c'});
    assert.equal(ledger.size, 0);
  });

  it('remembers a bounded number of contents', () => {
    const ledger = createLedger(10);
    for (let count = 0; count < 50; count++) {
      addAll(ledger, createCrashes(`content-${count}`, 'a'));
    }
    assert.equal(ledger.size, 10);
    assert.equal(ledger.decide('content-49'), 'suspected');
  });

  it('decides as one that looks at every crash does', () => {
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
