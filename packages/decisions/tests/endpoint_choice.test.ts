/** Where requests go: room, health, spread, prefixes, subsets, rules. */
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
  at: number,
  change: Partial<EndpointView> = {},
): EndpointView {
  return {
    address: `e${at}`,
    failureDomain: 'abc'[at % 3] ?? '',
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

/** Eight hosts choose for a burst from one and the same late report. */
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
      const views = Array.from({length: 20}, (_, at) =>
        createView(at, {
          reportedLoad: at % 3,
          sentSinceReport: own.get(`e${at}`) ?? 0,
          inFlight: own.get(`e${at}`) ?? 0,
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
    {name: 'gives nothing of nothing', views: [], request: {}, want: undefined},
    {
      name: 'gives nothing when all are full',
      views: [createView(0, {reportedLoad: 10}), createView(1, {inFlight: 12})],
      request: {},
      want: undefined,
    },
    {
      name: 'takes the one with less to do',
      views: [
        createView(0, {reportedLoad: 6}),
        createView(1, {reportedLoad: 2}),
      ],
      request: {},
      want: 'e1',
    },
    {
      name: 'counts what was sent since the report',
      views: [createView(0, {sentSinceReport: 6}), createView(1)],
      request: {},
      want: 'e1',
    },
    {
      name: 'leaves out one that does not answer',
      views: [
        createView(0, {isAnswering: false}),
        createView(1, {reportedLoad: 9}),
      ],
      request: {},
      want: 'e1',
    },
    {
      name: 'tries one that seems lost when all seem lost',
      views: [createView(0, {isAnswering: false})],
      request: {},
      want: 'e0',
    },
    {
      name: 'tries again what failed when there is nothing else',
      views: [createView(0)],
      request: {avoidAddresses: new Set(['e0'])},
      want: 'e0',
    },
    {
      name: 'tries again one that seems lost when there is nothing else',
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
      name: 'tries again what failed and answers, though it could wait',
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
      name: 'keeps away from what failed the request',
      views: [createView(0), createView(1, {reportedLoad: 9})],
      request: {avoidAddresses: new Set(['e0'])},
      want: 'e1',
    },
    {
      name: 'uses one that loses streams less',
      views: [createView(0, {lossRate: 0.3}), createView(1, {reportedLoad: 5})],
      request: {},
      want: 'e1',
    },
    {
      name: 'keeps away from one that makes no tokens, though it answers',
      views: [createView(0, {isQuiet: true}), createView(1, {reportedLoad: 9})],
      request: {},
      want: 'e1',
    },
    {
      name: 'uses one that makes no tokens when the others are full',
      views: [
        createView(0, {isQuiet: true}),
        createView(1, {reportedLoad: 10}),
      ],
      request: {},
      want: 'e0',
    },
    {
      name: 'uses one that makes no tokens when none does',
      views: [
        createView(0, {isQuiet: true, reportedLoad: 5}),
        createView(1, {isQuiet: true}),
      ],
      request: {},
      want: 'e1',
    },
    {
      name: 'keeps away from a failure domain that is being lost',
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

  it('goes to the prefix while its holder has room', () => {
    const views = Array.from({length: 20}, (_, at) => createView(at));
    const countHits = (address: string): number => (address === 'e7' ? 4 : 0);
    const request = createRequest({blockCount: 4});
    const chosen = chooseEndpoint(views, request, countHits, random);
    assert.equal(chosen?.address, 'e7');
    views[7] = createView(7, {reportedLoad: 10});
    const other = chooseEndpoint(views, request, countHits, random);
    assert.notEqual(other?.address, 'e7');
  });

  it('never gives an endpoint without room or one that is avoided', () => {
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
        const all = changes.map((change, at) => createView(at, change));
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

  it('does not herd where the naive choice does', () => {
    const ours = computeBurstMaximum((views, own) =>
      chooseEndpoint(views, createRequest(), NO_HITS, own),
    );
    const naive = computeBurstMaximum((views) => chooseLeastReported(views));
    assert.equal(naive, 80);
    assert.ok(ours <= 10, `the fullest got ${ours} of 80`);
  });
});

describe('chooseSubset', () => {
  const endpoints = Array.from({length: 300}, (_, at) => ({
    address: `10.0.0.${at}:1`,
    failureDomain: 'abcd'[at % 4] ?? '',
  }));

  it('gives all when there are few', () => {
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

  it('changes little when one endpoint goes', () => {
    fc.assert(
      fc.property(fc.nat(299), fc.string(), (gone, hostId) => {
        const before = chooseSubset(hostId, endpoints, 64);
        const rest = endpoints.filter((_, at) => at !== gone);
        const after = new Set(chooseSubset(hostId, rest, 64));
        const lost = before.filter((endpoint) => !after.has(endpoint));
        assert.ok(lost.length <= 1);
      }),
      RUN_OPTIONS,
    );
  });

  it('leaves no endpoint without hosts', () => {
    const users = new Map<string, number>();
    for (let host = 0; host < 40; host++) {
      for (const {address} of chooseSubset(`h${host}`, endpoints, 64)) {
        users.set(address, (users.get(address) ?? 0) + 1);
      }
    }
    assert.equal(users.size, endpoints.length);
  });
});

describe('computePlacement', () => {
  const rule = {service: 's', failureDomains: ['a', 'b']};
  const cases: readonly {
    name: string;
    rules: Parameters<typeof computePlacementConstraints>[0];
    allowed: string;
  }[] = [
    {name: 'allows all without rules', rules: [], allowed: 'abc'},
    {
      name: 'allows only what is required',
      rules: [{...rule, effect: 'require'}],
      allowed: 'ab',
    },
    {
      name: 'allows what two rules both require',
      rules: [
        {...rule, effect: 'require'},
        {...rule, effect: 'require', failureDomains: ['b', 'c']},
      ],
      allowed: 'b',
    },
    {
      name: 'avoids before it requires',
      rules: [
        {...rule, effect: 'require'},
        {...rule, effect: 'avoid', failureDomains: ['a']},
      ],
      allowed: 'b',
    },
    {
      name: 'passes over rules of other teams and services',
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
  it('counts leading blocks and forgets what was dropped', () => {
    const index = new PrefixIndex(10);
    index.addBlocks('e1', ['a', 'b', 'c']);
    assert.equal(index.countHits('e1', ['a', 'b', 'x']), 2);
    index.applyEvents('e1', [{block: 'a', stored: false}]);
    assert.equal(index.countHits('e1', ['a', 'b']), 0);
    index.dropEndpoint('e1');
    assert.equal(index.countHits('e1', ['b']), 0);
  });

  it('keeps to its bound and drops the least recently used', () => {
    const index = new PrefixIndex(3);
    index.addBlocks('e1', ['a', 'b', 'c', 'a', 'd']);
    assert.equal(index.countHits('e1', ['b']), 0);
    assert.equal(index.countHits('e1', ['a', 'd']), 2);
  });
});
