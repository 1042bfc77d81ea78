/** Distances between failure domains, and choices by weight and distance. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseHosts,
  computeHostShares,
  getWeightedSample,
  RegionMap,
  SINGLE_REGION,
  type HostCapacity,
} from '@irisdock/decisions';
import {SeededRandom} from '@irisdock/kernel';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const LIMITS = {maxHosts: 64, minOtherDomain: 5, minHosts: 16};
const SMALL: HostCapacity = {cores: 0.324, linkMbps: 7, memoryMb: 250};
const LARGE: HostCapacity = {cores: 1.35, linkMbps: 140, memoryMb: 602};
const ANSWERS = 6000;

interface Host {
  readonly name: string;
  readonly failureDomain: string;
  readonly capacity?: HostCapacity;
}

/** Two large hosts in each domain, and small ones. */
function createHosts(domains: readonly string[], small: number): Host[] {
  return domains.flatMap((failureDomain) =>
    Array.from({length: small + 2}, (_, at) => ({
      name: `${failureDomain}-${at}`,
      failureDomain,
      capacity: at < 2 ? LARGE : SMALL,
    })),
  );
}

function createRegions(domains: readonly string[]): RegionMap {
  return new RegionMap(
    new Map(domains.map((domain) => [domain, domain.slice(0, 1)])),
  );
}

const DOMAINS = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
const REGIONS = createRegions(DOMAINS);

/** The load of each host by callers of all domains, as a share of the mean. */
function measureLoads(
  hosts: readonly Host[],
  domains: readonly string[],
  regions: RegionMap,
): {load: (host: Host) => number; farShare: number} {
  const random = new SeededRandom(5);
  const loads = new Map<string, number>();
  let far = 0;
  for (let at = 0; at < ANSWERS; at++) {
    const domain = domains[at % domains.length] ?? '';
    const listed = chooseHosts(hosts, domain, LIMITS, random, regions);
    for (const {name, failureDomain} of listed) {
      loads.set(name, (loads.get(name) ?? 0) + 1 / listed.length);
      if (!regions.isSameRegion(domain, failureDomain)) {
        far += 1 / listed.length;
      }
    }
  }
  const mean = ANSWERS / hosts.length;
  const load = ({name}: Host): number => (loads.get(name) ?? 0) / mean;
  return {load, farShare: far / ANSWERS};
}

describe('RegionMap', () => {
  it('has one region unless several are told', () => {
    const one = new RegionMap(new Map([['a', 'r']]));
    for (const regions of [one, SINGLE_REGION]) {
      assert.equal(regions.computeProximity('a', 'a'), 'domain');
      assert.equal(regions.computeProximity('a', 'x'), 'region');
    }
  });

  it('tells regions apart; an unknown domain is in none of them', () => {
    assert.equal(REGIONS.computeProximity('a1', 'a2'), 'region');
    assert.equal(REGIONS.computeProximity('a1', 'b1'), 'elsewhere');
    assert.equal(REGIONS.computeProximity('a1', 'x'), 'elsewhere');
    assert.equal(REGIONS.computeProximity('y', 'x'), 'elsewhere');
  });
});

describe('getWeightedSample', () => {
  it('draws each item at most once, as many as asked for', () => {
    fc.assert(
      fc.property(
        fc.array(fc.double({min: 0.01, max: 50, noNaN: true})),
        fc.nat(20),
        fc.nat(),
        (weights, count, seed) => {
          const items = weights.map((_, at) => at);
          const random = new SeededRandom(seed);
          const sample = getWeightedSample(items, weights, count, random);
          assert.equal(sample.length, Math.min(count, items.length));
          assert.equal(new Set(sample).size, sample.length);
        },
      ),
      RUN_OPTIONS,
    );
  });

  it('draws in proportion to the weights', () => {
    const random = new SeededRandom(2);
    const weights = [1, 1, 2, 4];
    const counts = weights.map(() => 0);
    for (let at = 0; at < ANSWERS; at++) {
      for (const item of getWeightedSample([0, 1, 2, 3], weights, 2, random)) {
        counts[item] = (counts[item] ?? 0) + 1;
      }
    }
    for (const [at, weight] of weights.entries()) {
      const expected = (ANSWERS * 2 * weight) / 8;
      assert.ok(Math.abs((counts[at] ?? 0) - expected) < 0.08 * expected);
    }
  });
});

describe('chooseHosts with unequal hosts', () => {
  it('loads hosts of one region nearly in proportion to their capacity', () => {
    const domains = ['a1', 'a2', 'a3', 'a4'];
    const hosts = createHosts(domains, 21);
    const {load} = measureLoads(hosts, domains, SINGLE_REGION);
    const [large, , small] = hosts.map(load);
    const ratio = (large ?? 0) / (small ?? 1);
    assert.ok(ratio > 3.3 && ratio < 4.2, `${ratio}`);
  });

  it('loads large hosts most where a domain has few hosts', () => {
    const hosts = createHosts(DOMAINS, 10);
    const {load, farShare} = measureLoads(hosts, DOMAINS, REGIONS);
    const [large, , small] = hosts.map(load);
    const ratio = (large ?? 0) / (small ?? 1);
    assert.ok(ratio > 2.1 && ratio < 2.6, `${ratio}`);
    assert.ok(farShare < 0.1, `${farShare}`);
  });

  it('lists the own domain first, and always one of another region', () => {
    const hosts = createHosts(DOMAINS, 10);
    const random = new SeededRandom(1);
    const listed = chooseHosts(hosts, 'b2', LIMITS, random, REGIONS);
    const order = listed.map(({failureDomain}) =>
      REGIONS.computeProximity('b2', failureDomain),
    );
    assert.deepEqual(order, [
      ...Array<string>(8).fill('domain'),
      ...Array<string>(2).fill('region'),
      'elsewhere',
    ]);
  });

  it('lists hosts of other regions when those of the region are gone', () => {
    const hosts = createHosts(['b1', 'b2', 'c1', 'c2'], 10);
    const random = new SeededRandom(1);
    const listed = chooseHosts(hosts, 'a1', LIMITS, random, REGIONS);
    assert.equal(listed.length, 11);
    const left = [...createHosts(['a2'], 1), ...hosts];
    const mixed = chooseHosts(left, 'a1', LIMITS, random, REGIONS);
    assert.equal(mixed.filter((h) => h.failureDomain === 'a2').length, 3);
    assert.equal(mixed.length, 11);
  });

  it('lists all equal hosts of the domain, and few of others', () => {
    const hosts = createHosts(DOMAINS, 10).map(({name, failureDomain}) => ({
      name,
      failureDomain,
    }));
    const random = new SeededRandom(1);
    const listed = chooseHosts(hosts, 'c1', LIMITS, random, REGIONS);
    assert.equal(listed.length, 15);
  });
});

describe('computeHostShares', () => {
  it('adds up to one over all hosts, by capacity', () => {
    const hosts = [...createHosts(['a1'], 10), {capacity: undefined}];
    let sum = 0;
    for (const own of hosts) {
      const others = hosts.filter((host) => host !== own);
      sum += 1 / computeHostShares(own, others);
    }
    assert.ok(Math.abs(sum - 1) < 1e-9, `${sum}`);
    assert.equal(computeHostShares({}, [{}, {}]), 3);
  });
});
