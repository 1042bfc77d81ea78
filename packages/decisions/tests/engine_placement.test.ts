/** The choice of engines for streams and of plain endpoints for calls. */
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
  return list.map((change, index) =>
    createEngine({...change, instanceId: `e${index}`}),
  );
}

describe('sortByRendezvousHash', () => {
  it('does not depend on the order of the engines', () => {
    const list = createEngines([{}, {}, {}, {}, {}]);
    const sorted = sortByRendezvousHash(list, 'p').map((e) => e.instanceId);
    const sortedAgain = sortByRendezvousHash([...list].reverse(), 'p');
    assert.deepEqual(
      sortedAgain.map((e) => e.instanceId),
      sorted,
    );
  });

  it('moves only the prompts of an engine that is removed', () => {
    const list = createEngines([{}, {}, {}, {}, {}, {}]);
    for (let index = 0; index < 50; index++) {
      const before = sortByRendezvousHash(list, `p${index}`);
      const removed = before[1];
      const after = sortByRendezvousHash(
        list.filter((e) => e !== removed),
        `p${index}`,
      );
      assert.equal(after[0], before[0]);
    }
  });
});

describe('chooseEngine', () => {
  it('chooses an engine of least cost', () => {
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

  it('avoids failed and full engines and those in avoided domains', () => {
    const cases: readonly [string, Partial<EngineView>][] = [
      ['failed', {failureScore: 1}],
      ['full', {streams: 64}],
      ['without memory', {expectedTokens: 87_000}],
      ['in an avoided domain', {failureDomain: 'lost'}],
    ];
    for (const [name, change] of cases) {
      for (let index = 0; index < 10; index++) {
        const request = createRequest({
          promptKey: `p${index}`,
          avoidedDomains: new Set(['lost']),
        });
        const bad = createEngine({...change, instanceId: 'bad'});
        const good = createEngine({instanceId: 'good', failureDomain: 'two'});
        const chosen = chooseEngine([bad, good], request);
        assert.equal(chosen?.instanceId, 'good', name);
      }
    }
  });

  it('chooses none only if all are excluded', () => {
    const engine = createEngine({failureScore: 4, streams: 99});
    assert.equal(chooseEngine([engine], createRequest()), engine);
    const request = createRequest({excluded: new Set(['e1'])});
    assert.equal(chooseEngine([engine], request), undefined);
  });

  it('accepts a busier engine if it caches the prompt', () => {
    const keptTokens = new Map([['e1', 8000]]);
    const cases: readonly [Partial<EngineView>, boolean][] = [
      [{unreadTokens: 7000}, true],
      [{streams: 3}, true],
      [{unreadTokens: 8300}, false],
      [{streams: 60}, false],
      [{failureScore: 1}, false],
    ];
    for (const [change, isChosen] of cases) {
      const all = createEngines([{}, change, {}]);
      const chosen = chooseEngine(all, createRequest({keptTokens}));
      assert.equal(
        chosen?.instanceId === 'e1',
        isChosen,
        JSON.stringify(change),
      );
      const withoutCache = chooseEngine(all, createRequest());
      assert.notEqual(withoutCache?.instanceId, 'e1');
    }
  });
});

/** A stream of the replayed load. */
interface ReplayedStream {
  /** The index of the engine that runs it. */
  readonly engine: number;
  /** Prompt tokens that are not prefilled yet. */
  unreadTokens: number;
  /** Output tokens that are not generated yet. */
  remainingTokens: number;
  /** When it arrived, in ms of simulated time. */
  readonly arrivedAt: number;
}

/**
 * Replays streams on engines that prefill one prompt after another. The other
 * streams of an engine wait meanwhile. Returns the mean time from the arrival
 * of a stream to its end, in ms.
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
  const chooseForStream = (index: number): number => {
    const views = createEngines(
      Array.from({length: options.engines}, (_, engine) => {
        const streams = running.filter((stream) => stream.engine === engine);
        return {
          streams: streams.length,
          unreadTokens: streams.reduce((sum, s) => sum + s.unreadTokens, 0),
          memoryTokens: Infinity,
        };
      }),
    );
    const {promptTokens} = options;
    const change = {
      promptTokens,
      expectedTokens: promptTokens,
      promptKey: `p${index}`,
    };
    const chosen = chooseEngine(views, createRequest(change));
    return Number(chosen?.instanceId.slice(1));
  };
  for (let now = 0; arrived < options.streams || running.length > 0;) {
    while (arrived < options.streams && arrived * options.everyMs <= now) {
      running.push({
        engine: chooseForStream(arrived),
        unreadTokens: options.promptTokens,
        remainingTokens: OUTPUT_TOKENS,
        arrivedAt: now,
      });
      arrived++;
    }
    const prefilling = new Set<number>();
    for (const stream of running) {
      if (stream.unreadTokens === 0 || prefilling.has(stream.engine)) continue;
      prefilling.add(stream.engine);
      stream.unreadTokens -= STEP_MS * options.readPerMs;
      stream.unreadTokens = Math.max(0, stream.unreadTokens);
    }
    for (const stream of running) {
      const isBlocked = prefilling.has(stream.engine);
      if (stream.unreadTokens === 0 && !isBlocked) stream.remainingTokens--;
    }
    now += STEP_MS;
    for (const stream of running.filter(
      (other) => other.remainingTokens <= 0,
    )) {
      running.splice(running.indexOf(stream), 1);
      totalMs += now - stream.arrivedAt;
    }
  }
  return totalMs / options.streams;
}

describe('a replayed load of streams', () => {
  const sizes: readonly [readPerMs: number, promptTokens: number][] = [
    [5, 5200],
    [2, 5200],
    [12, 5200],
    [5, 1000],
    [8, 15_000],
  ];
  for (const [readPerMs, promptTokens] of sizes) {
    it(`is spread: ${promptTokens} tokens at ${readPerMs} tokens/ms`, () => {
      const aloneMs = promptTokens / readPerMs + 780 * 5;
      // 1.25 streams an engine on average.
      const everyMs = aloneMs / (12 * 1.25);
      const load = {engines: 12, streams: 150, everyMs, readPerMs};
      const meanMs = runLoad({...load, promptTokens});
      assert.ok(meanMs <= aloneMs * 1.35, `${meanMs} against ${aloneMs} ms`);
    });
  }
});

describe('chooseBackupEngine', () => {
  it('chooses a sound engine with room in another domain', () => {
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

function createPlainEndpoint(
  change: Partial<PlainEndpointView>,
): PlainEndpointView {
  return {
    instanceId: 'p1',
    failureDomain: 'one',
    calls: 0,
    slots: 6,
    answerMs: 40,
    failureScore: 0,
    ...change,
  };
}

describe('choosePlainEndpoint', () => {
  const cases: readonly [string, Partial<PlainEndpointView>][] = [
    ['busier', {calls: 12}],
    ['slower', {answerMs: 300}],
    ['recently failed', {failureScore: 1}],
  ];
  for (const [name, change] of cases) {
    it(`avoids a ${name} one`, () => {
      const worse = createPlainEndpoint({...change, instanceId: 'worse'});
      const better = createPlainEndpoint({instanceId: 'better'});
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
