/** Endpoint choice, endpoint subsets, placement rules and the prefix index. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {
  chooseEndpoint,
  chooseLeastReported,
  chooseSubset,
  computePlacementConstraints,
  isDomainAllowed,
  PrefixIndex,
  type ChoiceRequest,
  type EndpointView,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const NO_HITS = (): number => 0;

function createView(
  index: number,
  change: Partial<EndpointView> = {},
): EndpointView {
  return {
    address: `e${index}`,
    failureDomain: 'abc'[index % 3] ?? '',
    isAnswering: true,
    isQuiet: false,
    lossRate: 0,
    slots: 10,
    reportedLoad: 0,
    sentSinceReport: 0,
    inFlight: 0,
    ...change,
  };
}

function createRequest(change: Partial<ChoiceRequest> = {}): ChoiceRequest {
  return {
    blockCount: 0,
    avoidAddresses: new Set(),
    mayRetryLost: true,
    avoidDomains: new Set(),
    preferDomains: new Set(),
    maxLoad: 1,
    ...change,
  };
}

/** Eight hosts choose from the same old report; returns the highest load. */
function computeBurstMaximum(
  choose: (
    views: readonly EndpointView[],
    random: SeededRandom,
  ) => EndpointView | undefined,
): number {
  const sent = new Map<string, number>();
  for (let host = 0; host < 8; host++) {
    const random = new SeededRandom(host + 1);
    const own = new Map<string, number>();
    for (let request = 0; request < 10; request++) {
      const views = Array.from({length: 20}, (_, index) =>
        createView(index, {
          reportedLoad: index % 3,
          sentSinceReport: own.get(`e${index}`) ?? 0,
          inFlight: own.get(`e${index}`) ?? 0,
        }),
      );
      const address = choose(views, random)?.address ?? '';
      own.set(address, (own.get(address) ?? 0) + 1);
      sent.set(address, (sent.get(address) ?? 0) + 1);
    }
  }
  return Math.max(...sent.values());
}

describe('chooseEndpoint', () => {
  const random = new SeededRandom(1);
  const cases: readonly {
    name: string;
    views: readonly EndpointView[];
    request: Partial<ChoiceRequest>;
    want: string | undefined;
  }[] = [
    {name: 'chooses none of none', views: [], request: {}, want: undefined},
    {
      name: 'chooses none if all are full',
      views: [createView(0, {reportedLoad: 10}), createView(1, {inFlight: 12})],
      request: {},
      want: undefined,
    },
    {
      name: 'chooses the less loaded one',
      views: [
        createView(0, {reportedLoad: 6}),
        createView(1, {reportedLoad: 2}),
      ],
      request: {},
      want: 'e1',
    },
    {
      name: 'counts requests sent since the report',
      views: [createView(0, {sentSinceReport: 6}), createView(1)],
      request: {},
      want: 'e1',
    },
    {
      name: 'skips one that does not answer',
      views: [
        createView(0, {isAnswering: false}),
        createView(1, {reportedLoad: 9}),
      ],
      request: {},
      want: 'e1',
    },
    {
      name: 'tries one that seems lost if all seem lost',
      views: [createView(0, {isAnswering: false})],
      request: {},
      want: 'e0',
    },
    {
      name: 'retries one that failed if there is no other',
      views: [createView(0)],
      request: {avoidAddresses: new Set(['e0'])},
      want: 'e0',
    },
    {
      name: 'retries one that seems lost if there is no other',
      views: [createView(0, {isAnswering: false})],
      request: {avoidAddresses: new Set(['e0'])},
      want: 'e0',
    },
    {
      name: 'waits for one that failed to answer, if the request can wait',
      views: [createView(0, {isAnswering: false})],
      request: {avoidAddresses: new Set(['e0']), mayRetryLost: false},
      want: undefined,
    },
    {
      name: 'retries one that failed but answers, though it could wait',
      views: [createView(0), createView(1, {isAnswering: false})],
      request: {avoidAddresses: new Set(['e0', 'e1']), mayRetryLost: false},
      want: 'e0',
    },
    {
      name: 'tries one that seems lost once, though it could wait',
      views: [
        createView(0, {isAnswering: false}),
        createView(1, {isAnswering: false}),
      ],
      request: {avoidAddresses: new Set(['e0']), mayRetryLost: false},
      want: 'e1',
    },
    {
      name: 'avoids one that failed the request',
      views: [createView(0), createView(1, {reportedLoad: 9})],
      request: {avoidAddresses: new Set(['e0'])},
      want: 'e1',
    },
    {
      name: 'prefers one that loses fewer streams',
      views: [createView(0, {lossRate: 0.3}), createView(1, {reportedLoad: 5})],
      request: {},
      want: 'e1',
    },
    {
      name: 'avoids one that produces no tokens though it answers',
      views: [createView(0, {isQuiet: true}), createView(1, {reportedLoad: 9})],
      request: {},
      want: 'e1',
    },
    {
      name: 'uses one that produces no tokens if the others are full',
      views: [
        createView(0, {isQuiet: true}),
        createView(1, {reportedLoad: 10}),
      ],
      request: {},
      want: 'e0',
    },
    {
      name: 'uses one that produces no tokens if none does',
      views: [
        createView(0, {isQuiet: true, reportedLoad: 5}),
        createView(1, {isQuiet: true}),
      ],
      request: {},
      want: 'e1',
    },
    {
      name: 'avoids a failure domain that is being lost',
      views: [createView(0), createView(1, {reportedLoad: 9})],
      request: {avoidDomains: new Set(['a'])},
      want: 'e1',
    },
  ];
  for (const {name, views, request, want} of cases) {
    it(name, () => {
      const chosen = chooseEndpoint(
        views,
        createRequest(request),
        NO_HITS,
        random,
      );
      assert.equal(chosen?.address, want);
    });
  }

  it('prefers the endpoint that caches the prefix while it has room', () => {
    const views = Array.from({length: 20}, (_, index) => createView(index));
    const countHits = (address: string): number => (address === 'e7' ? 4 : 0);
    const request = createRequest({blockCount: 4});
    const chosen = chooseEndpoint(views, request, countHits, random);
    assert.equal(chosen?.address, 'e7');
    views[7] = createView(7, {reportedLoad: 10});
    const other = chooseEndpoint(views, request, countHits, random);
    assert.notEqual(other?.address, 'e7');
  });

  it('never chooses a full endpoint, nor a silent one while any answers', () => {
    const views = fc.array(
      fc.record({
        reported: fc.nat(12),
        inFlight: fc.nat(12),
        answering: fc.boolean(),
      }),
      {minLength: 1, maxLength: 12},
    );
    fc.assert(
      fc.property(views, fc.nat(), (changes, seed) => {
        const all = changes.map((change, index) => createView(index, change));
        const chosen = chooseEndpoint(
          all,
          createRequest({avoidAddresses: new Set(['e0'])}),
          NO_HITS,
          new SeededRandom(seed),
        );
        if (chosen === undefined) return;
        assert.ok(chosen.reportedLoad < 10 && chosen.inFlight < 10);
        const anyAnswers = all.some((view) => view.isAnswering);
        assert.ok(chosen.isAnswering || !anyAnswers);
      }),
      RUN_OPTIONS,
    );
  });

  it('spreads a burst that the naive choice sends to one endpoint', () => {
    const chosen = computeBurstMaximum((views, hostRandom) =>
      chooseEndpoint(views, createRequest(), NO_HITS, hostRandom),
    );
    const naive = computeBurstMaximum((views) => chooseLeastReported(views));
    assert.equal(naive, 80);
    assert.ok(chosen <= 10, `the busiest endpoint got ${chosen} of 80`);
  });
});

describe('chooseSubset', () => {
  const endpoints = Array.from({length: 300}, (_, index) => ({
    address: `10.0.0.${index}:1`,
    failureDomain: 'abcd'[index % 4] ?? '',
  }));

  it('chooses all if there are few', () => {
    const few = endpoints.slice(0, 20);
    assert.deepEqual(chooseSubset('h1', few, 64), few);
  });

  it('spreads a subset over the failure domains', () => {
    const chosen = chooseSubset('h1', endpoints, 64);
    const counts = new Map<string, number>();
    for (const {failureDomain: name} of chosen) {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    assert.deepEqual([...counts.values()], [16, 16, 16, 16]);
  });

  it('loses at most one endpoint when one is removed', () => {
    fc.assert(
      fc.property(fc.nat(299), fc.string(), (removed, hostId) => {
        const before = chooseSubset(hostId, endpoints, 64);
        const rest = endpoints.filter((_, index) => index !== removed);
        const after = new Set(chooseSubset(hostId, rest, 64));
        const lost = before.filter((endpoint) => !after.has(endpoint));
        assert.ok(lost.length <= 1);
      }),
      RUN_OPTIONS,
    );
  });

  it('leaves no endpoint unused by all hosts', () => {
    const users = new Map<string, number>();
    for (let host = 0; host < 40; host++) {
      for (const {address} of chooseSubset(`h${host}`, endpoints, 64)) {
        users.set(address, (users.get(address) ?? 0) + 1);
      }
    }
    assert.equal(users.size, endpoints.length);
  });
});

describe('computePlacementConstraints', () => {
  const rule = {service: 's', failureDomains: ['a', 'b']};
  const cases: readonly {
    name: string;
    rules: Parameters<typeof computePlacementConstraints>[0];
    allowed: string;
  }[] = [
    {name: 'allows all domains without rules', rules: [], allowed: 'abc'},
    {
      name: 'allows only required domains',
      rules: [{...rule, effect: 'require'}],
      allowed: 'ab',
    },
    {
      name: 'allows domains that two rules both require',
      rules: [
        {...rule, effect: 'require'},
        {...rule, effect: 'require', failureDomains: ['b', 'c']},
      ],
      allowed: 'b',
    },
    {
      name: 'excludes an avoided domain even if it is required',
      rules: [
        {...rule, effect: 'require'},
        {...rule, effect: 'avoid', failureDomains: ['a']},
      ],
      allowed: 'b',
    },
    {
      name: 'ignores rules of other teams and services',
      rules: [
        {...rule, effect: 'avoid', team: 'other'},
        {...rule, effect: 'avoid', service: 'other'},
      ],
      allowed: 'abc',
    },
  ];
  for (const {name, rules, allowed} of cases) {
    it(name, () => {
      const limits = computePlacementConstraints(rules, 's', 't');
      const names = ['a', 'b', 'c'].filter((d) => isDomainAllowed(limits, d));
      assert.equal(names.join(''), allowed);
    });
  }
});

describe('PrefixIndex', () => {
  it('counts leading blocks that are still stored', () => {
    const index = new PrefixIndex(10);
    index.addBlocks('e1', ['a', 'b', 'c']);
    assert.equal(index.countHits('e1', ['a', 'b', 'x']), 2);
    index.applyEvents('e1', [{block: 'a', stored: false}]);
    assert.equal(index.countHits('e1', ['a', 'b']), 0);
    index.dropEndpoint('e1');
    assert.equal(index.countHits('e1', ['b']), 0);
  });

  it('evicts the least recently used block at its capacity', () => {
    const index = new PrefixIndex(3);
    index.addBlocks('e1', ['a', 'b', 'c', 'a', 'd']);
    assert.equal(index.countHits('e1', ['b']), 0);
    assert.equal(index.countHits('e1', ['a', 'd']), 2);
  });
});
