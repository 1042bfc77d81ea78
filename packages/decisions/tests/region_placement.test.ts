/** Where streams, replicas, calls and origins go if there are regions. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseBackupEngine,
  chooseEngine,
  chooseOriginHolders,
  choosePlainEndpoint,
  chooseStoreReaders,
  computeHomeGroups,
  createHostGroups,
  HostPosition,
  ORIGIN_HOLDERS,
  ORIGIN_RESPONDERS,
  RegionMap,
  UpdateSources,
  type EngineRequest,
  type EngineView,
  type OriginHost,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {runPlacement} from './fixtures/placement_simulation.js';
import {RUN_OPTIONS} from './run_options.js';

const DOMAINS = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
const REGIONS = new RegionMap(
  new Map(DOMAINS.map((domain) => [domain, domain.slice(0, 1)])),
);
const POSITION = new HostPosition('a1', REGIONS);
const FULL = {streams: 12};

function createEngines(
  domains: readonly string[],
  change: Partial<EngineView> = {},
): EngineView[] {
  return domains.map((failureDomain) => ({
    instanceId: `e-${failureDomain}`,
    failureDomain,
    streams: 0,
    slots: 12,
    unreadTokens: 0,
    expectedTokens: 0,
    memoryTokens: 88_000,
    failureScore: 0,
    ...change,
  }));
}

function createRequest(avoided: readonly string[] = []): EngineRequest {
  return {
    expectedTokens: 6000,
    promptTokens: 5000,
    excluded: new Set(),
    avoidedDomains: new Set(avoided),
    promptKey: 'p',
    keptTokens: new Map(),
    position: POSITION,
  };
}

describe('the engine of a stream', () => {
  const near = ['a1', 'a2'];
  const far = ['b1', 'b2', 'c1', 'c2'];

  it('is in the own region while that has engines to spare', () => {
    const engines = [
      ...createEngines(near, {streams: 1}),
      ...createEngines(far),
    ];
    const chosen = chooseEngine(engines, createRequest());
    assert.ok(near.includes(chosen?.failureDomain ?? ''));
  });

  it('is elsewhere while the engines of the region are gone or full', () => {
    const request = createRequest();
    const elsewhere = createEngines(far);
    for (const busy of [[], createEngines(near, FULL)]) {
      const chosen = chooseEngine([...busy, ...elsewhere], request);
      assert.ok(far.includes(chosen?.failureDomain ?? ''));
    }
    const returned = [...createEngines(near), ...elsewhere];
    const chosen = chooseEngine(returned, request);
    assert.ok(near.includes(chosen?.failureDomain ?? ''));
  });

  it('has its replica in another domain of its region', () => {
    const engines = createEngines(DOMAINS);
    for (const primary of engines) {
      const backup = chooseBackupEngine(engines, primary, createRequest());
      const domain = backup?.failureDomain ?? '';
      assert.notEqual(domain, primary.failureDomain);
      assert.ok(REGIONS.isSameRegion(domain, primary.failureDomain));
    }
  });

  it('has its replica in another region if its own is short', () => {
    const [primary, ...others] = createEngines(DOMAINS);
    assert.ok(primary !== undefined);
    const avoiding = chooseBackupEngine(others, primary, createRequest(['a2']));
    assert.ok(far.includes(avoiding?.failureDomain ?? ''));
    const elsewhere = createEngines(far);
    const left = chooseBackupEngine(elsewhere, primary, createRequest());
    assert.ok(far.includes(left?.failureDomain ?? ''));
  });

  it('seldom crosses regions, but serves a region that lost its engines', () => {
    const options = {
      hosts: 72,
      engines: 80,
      domains: 6,
      regions: 3,
      streamsPerSecond: 20,
      knowledge: 'groups',
      seed: 1,
      seconds: 12,
    } as const;
    const sound = runPlacement(options);
    assert.ok(sound.farShare < 0.02, `${sound.farShare}`);
    const lost = runPlacement({...options, lostRegion: 1});
    assert.ok(lost.farShare > 0.3, `${lost.farShare}`);
    assert.ok(lost.lateShare < 0.01, `${lost.lateShare}`);
  });
});

describe('the home of an engine', () => {
  it('is in its region if its domain has no hosts', () => {
    const hosts = Array.from({length: 60}, (_, at) => ({
      name: `h${at}`,
      failureDomain: DOMAINS[1 + (at % 5)] ?? '',
    }));
    const groups = createHostGroups(hosts);
    const homes = computeHomeGroups(groups, createEngines(['a1']), REGIONS);
    assert.equal(homes.get('e-a1')?.failureDomain, 'a2');
    const without = groups.filter(({failureDomain}) => failureDomain !== 'a2');
    const left = computeHomeGroups(without, createEngines(['a1']), REGIONS);
    assert.ok(left.has('e-a1'));
  });
});

describe('the endpoint of a plain call', () => {
  it('is in the own region unless that is far slower', () => {
    const [near, far] = ['a2', 'b1'].map((failureDomain) => ({
      instanceId: failureDomain,
      failureDomain,
      calls: 3,
      slots: 6,
      answerMs: 40,
      failureScore: 0,
    }));
    assert.ok(near !== undefined && far !== undefined);
    const choose = (answerMs: number, spread: number): string | undefined =>
      choosePlainEndpoint(
        [{...near, answerMs}, far],
        new Set(),
        () => spread,
        POSITION,
      )?.instanceId;
    for (const spread of [0, 0.99]) {
      assert.equal(choose(40, spread), 'a2');
      assert.equal(choose(200, spread), 'b1');
    }
  });
});

describe('the origin of a stream', () => {
  const hosts: OriginHost[] = DOMAINS.flatMap((failureDomain) =>
    Array.from({length: 5}, (_, at) => ({
      name: `${failureDomain}-${at}`,
      failureDomain,
    })),
  );
  const choose = (
    streamId: string,
    by: string,
    among: readonly OriginHost[],
    count: number,
  ): string[] =>
    chooseOriginHolders(streamId, among, count, new HostPosition(by, REGIONS));

  it('is kept in the region but for one, and found after its loss', () => {
    fc.assert(
      fc.property(fc.string(), (streamId) => {
        const kept = choose(streamId, 'a1', hosts, ORIGIN_HOLDERS);
        assert.equal(kept.length, ORIGIN_HOLDERS);
        assert.equal(kept.filter((name) => name.startsWith('a')).length, 3);
        const left = hosts.filter(({name}) => !name.startsWith('a'));
        for (const by of DOMAINS) {
          const asked = choose(streamId, by, hosts, ORIGIN_RESPONDERS);
          assert.ok(kept.some((name) => asked.includes(name)));
          if (by.startsWith('a')) continue;
          const askedAfter = choose(streamId, by, left, ORIGIN_RESPONDERS);
          assert.ok(kept.some((name) => askedAfter.includes(name)));
        }
      }),
      RUN_OPTIONS,
    );
  });
});

describe('the source of a table', () => {
  it('is a host of the own region if one has the change', () => {
    const sources = new UpdateSources((address) => address.startsWith('near'));
    sources.recordAnnouncement('far', 8);
    assert.equal(sources.choose(7, new Set()), 'far');
    sources.recordAnnouncement('near-1', 8);
    sources.recordAnnouncement('near-2', 8);
    sources.recordAnnouncement('far', 8);
    assert.equal(sources.choose(7, new Set()), 'near-2');
    assert.equal(sources.choose(7, new Set(['near-1', 'near-2'])), 'far');
  });
});

describe('the readers of the store', () => {
  it('are in different regions, unless one has no sound host', () => {
    const candidates = ['a', 'a', 'b', 'b', 'c'].map((region, at) => ({
      name: `${region}${at}`,
      region,
      incarnation: at,
      state: 'ready' as const,
      isStoreAway: false,
    }));
    assert.deepEqual(chooseStoreReaders(candidates, 3), ['a0', 'b2', 'c4']);
    const away = candidates.map((one) => ({
      ...one,
      isStoreAway: one.region === 'c',
    }));
    assert.deepEqual(chooseStoreReaders(away, 3), ['a0', 'b2', 'a1']);
  });
});
