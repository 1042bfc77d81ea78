/** Which hosts know an engine's load, and what that is worth at high load. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  computeHomeGroups,
  createHostGroups,
  decideRemoteEngineCount,
  type EngineRequest,
  type EngineView,
  type EngineLocation,
} from '@irisdock/decisions';
import {getShuffled, SeededRandom} from '@irisdock/kernel';
import fc from 'fast-check';
import {
  runPlacement,
  type PlacementOptions,
} from './fixtures/placement_simulation.js';
import {RUN_OPTIONS} from './run_options.js';

function createHosts(
  count: number,
  domains: number,
): {name: string; failureDomain: string}[] {
  return Array.from({length: count}, (_, at) => ({
    name: `host-${at}`,
    failureDomain: `domain-${at % domains}`,
  }));
}

function createEngines(count: number, domains: number): EngineLocation[] {
  return Array.from({length: count}, (_, at) => ({
    instanceId: `i-${at}`,
    failureDomain: `domain-${at % domains}`,
  }));
}

describe('the home groups of engines', () => {
  const deployments = fc.record({
    hosts: fc.integer({min: 1, max: 200}),
    engines: fc.integer({min: 0, max: 200}),
    hostDomains: fc.integer({min: 1, max: 6}),
    engineDomains: fc.integer({min: 1, max: 6}),
    seed: fc.integer(),
  });

  it('are one each, in the domain where it has hosts, and even', () => {
    fc.assert(
      fc.property(deployments, (play) => {
        const groups = createHostGroups(
          createHosts(play.hosts, play.hostDomains),
        );
        const engines = createEngines(play.engines, play.engineDomains);
        const homes = computeHomeGroups(groups, engines);
        assert.equal(homes.size, engines.length);
        const counts = new Map<string, number>();
        for (const {instanceId, failureDomain} of engines) {
          const home = homes.get(instanceId);
          assert.ok(home !== undefined);
          const hasHosts = groups.some(
            (group) => group.failureDomain === failureDomain,
          );
          if (hasHosts) assert.equal(home.failureDomain, failureDomain);
          const key = `${failureDomain} ${home.key}`;
          counts.set(key, (counts.get(key) ?? 0) + 1);
        }
        for (const [key, count] of counts) {
          const domain = key.split(' ')[0];
          const near = engines.filter((one) => one.failureDomain === domain);
          const own = groups.filter((one) => one.failureDomain === domain);
          const shares = own.length > 0 ? own.length : groups.length;
          assert.ok(count <= Math.ceil(near.length / shares));
        }
      }),
      RUN_OPTIONS,
    );
  });

  it('are found alike whatever the order', () => {
    const groups = createHostGroups(createHosts(195, 6));
    const engines = createEngines(174, 6);
    const homes = computeHomeGroups(groups, engines);
    const mixed = getShuffled(engines, new SeededRandom(2));
    for (const [instanceId, home] of computeHomeGroups(groups, mixed)) {
      assert.equal(homes.get(instanceId), home);
    }
  });

  it('stay for nearly all when one engine goes', () => {
    const groups = createHostGroups(createHosts(195, 6));
    const engines = createEngines(174, 6);
    const before = computeHomeGroups(groups, engines);
    const after = computeHomeGroups(groups, engines.slice(1));
    let moved = 0;
    for (const [instanceId, home] of after) {
      if (before.get(instanceId) !== home) moved++;
    }
    assert.ok(moved <= 6, `${moved}`);
  });
});

describe('the engines beside the home engines', () => {
  const request: EngineRequest = {
    expectedTokens: 9000,
    promptTokens: 8000,
    excluded: new Set(['gone']),
    avoidedDomains: new Set(),
    promptKey: 'p',
    keptTokens: new Map(),
  };

  function createView(change: Partial<EngineView>): EngineView {
    return {
      instanceId: 'e',
      failureDomain: 'one',
      streams: 0,
      slots: 24,
      unreadTokens: 0,
      expectedTokens: 0,
      memoryTokens: 88_000,
      failureScore: 0,
      ...change,
    };
  }

  it('are looked at when the home engines are busy, failed or gone', () => {
    assert.equal(decideRemoteEngineCount([createView({})], request), 0);
    assert.equal(
      decideRemoteEngineCount([createView({streams: 1})], request),
      3,
    );
    assert.equal(
      decideRemoteEngineCount([createView({failureScore: 1})], request),
      3,
    );
    const gone = createView({instanceId: 'gone'});
    assert.equal(decideRemoteEngineCount([gone], request), 4);
    assert.equal(decideRemoteEngineCount([], request), 4);
  });
});

describe('streams placed by what the home groups know', () => {
  const SITE: Omit<PlacementOptions, 'knowledge'> = {
    hosts: 195,
    engines: 174,
    domains: 6,
    streamsPerSecond: 45,
    seed: 7,
  };
  const loads: readonly [string, Partial<PlacementOptions>, number][] = [
    ['195 hosts', {}, 1.1],
    ['350 hosts', {hosts: 350, domains: 21, engines: 350}, 1.1],
    ['a high load', {streamsPerSecond: 75}, 1.1],
    ['a domain that is lost', {lostDomain: 2}, 1.1],
    ['each second engine slower by 1.3', {slowBy: 1.3}, 1.1],
  ];
  for (const [what, change, bound] of loads) {
    it(`take hardly longer than with full knowledge: ${what}`, () => {
      const all = runPlacement({...SITE, ...change, knowledge: 'all'});
      const groups = runPlacement({...SITE, ...change, knowledge: 'groups'});
      assert.ok(groups.meanMs <= bound * all.meanMs, `${groups.meanMs}`);
      assert.ok(groups.latePart <= all.latePart + 0.01);
    });
  }

  it('take much less time than those placed blindly', () => {
    const groups = runPlacement({...SITE, knowledge: 'groups'});
    const blind = runPlacement({...SITE, knowledge: 'nothing'});
    assert.ok(groups.meanMs < 0.85 * blind.meanMs, `${blind.meanMs}`);
    assert.ok(groups.p99Ms < 0.7 * blind.p99Ms);
  });
});
