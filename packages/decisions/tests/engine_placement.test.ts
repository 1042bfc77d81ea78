/** Where streams and calls run. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseBackupEngine,
  chooseEngine,
  choosePlainEndpoint,
  computeEngineCost,
  sortByRendezvousHash,
  type EngineRequest,
  type EngineView,
  type PlainEndpointView,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

function createEngine(change: Partial<EngineView>): EngineView {
  return {
    instanceId: 'e1',
    failureDomain: 'one',
    streams: 0,
    slots: 64,
    unreadTokens: 0,
    expectedTokens: 0,
    memoryTokens: 88_000,
    failureScore: 0,
    ...change,
  };
}

function createRequest(change: Partial<EngineRequest> = {}): EngineRequest {
  return {
    expectedTokens: 9000,
    promptTokens: 8200,
    excluded: new Set(),
    avoidedDomains: new Set(),
    promptKey: 'p',
    keptTokens: new Map(),
    ...change,
  };
}

const engines = fc.array(
  fc.record({
    failureDomain: fc.constantFrom('one', 'two', 'three'),
    streams: fc.nat(10),
    unreadTokens: fc.constantFrom(0, 8000, 16_000, 60_000),
    expectedTokens: fc.nat(80_000),
    failureScore: fc.constantFrom(0, 0.3, 1),
  }),
  {minLength: 1, maxLength: 12},
);

function createEngines(list: readonly Partial<EngineView>[]): EngineView[] {
  return list.map((change, at) =>
    createEngine({...change, instanceId: `e${at}`}),
  );
}

describe('the order of engines for a prompt', () => {
  it('is the same whatever the order they are given in', () => {
    const list = createEngines([{}, {}, {}, {}, {}]);
    const names = sortByRendezvousHash(list, 'p').map((e) => e.instanceId);
    const again = sortByRendezvousHash([...list].reverse(), 'p');
    assert.deepEqual(
      again.map((e) => e.instanceId),
      names,
    );
  });

  it('moves only the prompts of an engine that goes', () => {
    const list = createEngines([{}, {}, {}, {}, {}, {}]);
    for (let at = 0; at < 50; at++) {
      const before = sortByRendezvousHash(list, `p${at}`);
      const gone = before[1];
      const after = sortByRendezvousHash(
        list.filter((e) => e !== gone),
        `p${at}`,
      );
      assert.equal(after[0], before[0]);
    }
  });
});

describe('the choice of an engine', () => {
  it('is as cheap as the cheapest', () => {
    fc.assert(
      fc.property(engines, fc.string(), (list, promptKey) => {
        const all = createEngines(list);
        const request = createRequest({promptKey});
        const chosen = chooseEngine(all, request);
        assert.ok(chosen !== undefined);
        const costs = all.map((engine) => computeEngineCost(engine, request));
        const cost = computeEngineCost(chosen, request);
        assert.equal(cost, Math.min(...costs));
      }),
      RUN_OPTIONS,
    );
  });

  it('keeps away from what failed, from full ones and lost domains', () => {
    const cases: readonly [string, Partial<EngineView>][] = [
      ['failed', {failureScore: 1}],
      ['full', {streams: 64}],
      ['without memory', {expectedTokens: 87_000}],
      ['in a lost domain', {failureDomain: 'lost'}],
    ];
    for (const [what, change] of cases) {
      for (let at = 0; at < 10; at++) {
        const request = createRequest({
          promptKey: `p${at}`,
          avoidedDomains: new Set(['lost']),
        });
        const bad = createEngine({...change, instanceId: 'bad'});
        const good = createEngine({instanceId: 'good', failureDomain: 'two'});
        const chosen = chooseEngine([bad, good], request);
        assert.equal(chosen?.instanceId, 'good', what);
      }
    }
  });

  it('finds nothing only when all are excluded', () => {
    const one = createEngine({failureScore: 4, streams: 99});
    assert.equal(chooseEngine([one], createRequest()), one);
    const request = createRequest({excluded: new Set(['e1'])});
    assert.equal(chooseEngine([one], request), undefined);
  });

  it('goes back to a busier engine for a prompt that it keeps', () => {
    const keptTokens = new Map([['e1', 8000]]);
    const cases: readonly [Partial<EngineView>, boolean][] = [
      [{unreadTokens: 7000}, true],
      [{streams: 3}, true],
      [{unreadTokens: 8300}, false],
      [{streams: 60}, false],
      [{failureScore: 1}, false],
    ];
    for (const [change, isTaken] of cases) {
      const all = createEngines([{}, change, {}]);
      const chosen = chooseEngine(all, createRequest({keptTokens}));
      assert.equal(
        chosen?.instanceId === 'e1',
        isTaken,
        JSON.stringify(change),
      );
      const fresh = chooseEngine(all, createRequest());
      assert.notEqual(fresh?.instanceId, 'e1');
    }
  });
});

/** One stream of a load that is replayed, as it stands at an engine. */
interface ReplayedStream {
  readonly engine: number;
  unreadTokens: number;
  leftTokens: number;
  readonly arrivedMs: number;
}

/**
 * Replays streams on engines that read one prompt after another, between the
 * tokens of what runs there; gives the mean time from arrival to end in ms.
 */
function runLoad(options: {
  readonly engines: number;
  readonly streams: number;
  readonly everyMs: number;
  readonly readPerMs: number;
  readonly promptTokens: number;
}): number {
  const STEP_MS = 5;
  const OUTPUT_TOKENS = 780;
  const running: ReplayedStream[] = [];
  let totalMs = 0;
  let arrived = 0;
  const chooseAt = (at: number): number => {
    const views = createEngines(
      Array.from({length: options.engines}, (_, engine) => {
        const there = running.filter((stream) => stream.engine === engine);
        return {
          streams: there.length,
          unreadTokens: there.reduce((sum, s) => sum + s.unreadTokens, 0),
          memoryTokens: Infinity,
        };
      }),
    );
    const {promptTokens} = options;
    const change = {promptTokens, tokens: promptTokens, promptKey: `p${at}`};
    const chosen = chooseEngine(views, createRequest(change));
    return Number(chosen?.instanceId.slice(1));
  };
  for (let now = 0; arrived < options.streams || running.length > 0;) {
    while (arrived < options.streams && arrived * options.everyMs <= now) {
      running.push({
        engine: chooseAt(arrived),
        unreadTokens: options.promptTokens,
        leftTokens: OUTPUT_TOKENS,
        arrivedMs: now,
      });
      arrived++;
    }
    const readers = new Set<number>();
    for (const stream of running) {
      if (stream.unreadTokens === 0 || readers.has(stream.engine)) continue;
      readers.add(stream.engine);
      stream.unreadTokens -= STEP_MS * options.readPerMs;
      stream.unreadTokens = Math.max(0, stream.unreadTokens);
    }
    for (const stream of running) {
      const isHeldUp = readers.has(stream.engine);
      if (stream.unreadTokens === 0 && !isHeldUp) stream.leftTokens--;
    }
    now += STEP_MS;
    for (const stream of running.filter((one) => one.leftTokens <= 0)) {
      running.splice(running.indexOf(stream), 1);
      totalMs += now - stream.arrivedMs;
    }
  }
  return totalMs / options.streams;
}

describe('a load of streams that is replayed', () => {
  const sizes: readonly [readPerMs: number, promptTokens: number][] = [
    [5, 5200],
    [2, 5200],
    [12, 5200],
    [5, 1000],
    [8, 15_000],
  ];
  for (const [readPerMs, promptTokens] of sizes) {
    it(`of ${promptTokens} tokens at ${readPerMs} a ms spreads`, () => {
      const aloneMs = promptTokens / readPerMs + 780 * 5;
      // One stream an engine and a quarter more, all the time.
      const everyMs = aloneMs / (12 * 1.25);
      const load = {engines: 12, streams: 150, everyMs, readPerMs};
      const meanMs = runLoad({...load, promptTokens});
      assert.ok(meanMs <= aloneMs * 1.35, `${meanMs} against ${aloneMs} ms`);
    });
  }
});

describe('the choice of a standby', () => {
  it('is in another domain, sound and with room', () => {
    fc.assert(
      fc.property(engines, (list) => {
        const all = createEngines(list);
        const [primary] = all;
        assert.ok(primary !== undefined);
        const request = createRequest();
        const backup = chooseBackupEngine(all, primary, request);
        if (backup === undefined) return;
        assert.notEqual(backup.failureDomain, primary.failureDomain);
        assert.equal(backup.failureScore, 0);
        assert.ok(backup.expectedTokens + 9000 <= 0.8 * 88_000);
      }),
      RUN_OPTIONS,
    );
  });
});

function createPlain(change: Partial<PlainEndpointView>): PlainEndpointView {
  return {
    instanceId: 'p1',
    calls: 0,
    slots: 6,
    answerMs: 40,
    failureScore: 0,
    ...change,
  };
}

describe('the choice of a plain endpoint', () => {
  const cases: readonly [string, Partial<PlainEndpointView>][] = [
    ['busier', {calls: 12}],
    ['slower', {answerMs: 300}],
    ['failed of late', {failureScore: 1}],
  ];
  for (const [what, change] of cases) {
    it(`leaves out one that is ${what}`, () => {
      const worse = createPlain({...change, instanceId: 'worse'});
      const better = createPlain({instanceId: 'better'});
      for (const spread of [0, 0.5, 0.99]) {
        const chosen = choosePlainEndpoint(
          [worse, better],
          new Set(),
          () => spread,
        );
        assert.equal(chosen?.instanceId, 'better');
      }
    });
  }
});
