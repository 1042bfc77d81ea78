/**
 * The home groups of engines, and how much their knowledge of the load improves
 * the placement of streams.
 */
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
  return Array.from({length: count}, (_, index) => ({
    name: `host-${index}`,
    failureDomain: `domain-${index % domains}`,
  }));
}

function createEngines(count: number, domains: number): EngineLocation[] {
  return Array.from({length: count}, (_, index) => ({
    instanceId: `i-${index}`,
    failureDomain: `domain-${index % domains}`,
  }));
}

describe('computeHomeGroups', () => {
  const deployments = fc.record({
    hosts: fc.integer({min: 1, max: 200}),
    engines: fc.integer({min: 0, max: 200}),
    hostDomains: fc.integer({min: 1, max: 6}),
    engineDomains: fc.integer({min: 1, max: 6}),
    seed: fc.integer(),
  });

  it('assigns each engine once, evenly, within its domain if possible', () => {
    fc.assert(
      fc.property(deployments, (deployment) => {
        const groups = createHostGroups(
          createHosts(deployment.hosts, deployment.hostDomains),
        );
        const engines = createEngines(
          deployment.engines,
          deployment.engineDomains,
        );
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
          const inDomain = engines.filter(
            (engine) => engine.failureDomain === domain,
          );
          const domainGroups = groups.filter(
            (group) => group.failureDomain === domain,
          );
          const shares =
            domainGroups.length > 0 ? domainGroups.length : groups.length;
          assert.ok(count <= Math.ceil(inDomain.length / shares));
        }
      }),
      RUN_OPTIONS,
    );
  });

  it('does not depend on the order of the engines', () => {
    const groups = createHostGroups(createHosts(195, 6));
    const engines = createEngines(174, 6);
    const homes = computeHomeGroups(groups, engines);
    const shuffled = getShuffled(engines, new SeededRandom(2));
    for (const [instanceId, home] of computeHomeGroups(groups, shuffled)) {
      assert.equal(homes.get(instanceId), home);
    }
  });

  it('moves few engines when one is removed', () => {
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

describe('decideRemoteEngineCount', () => {
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

  it('adds engines if the home engines are busy, failed or excluded', () => {
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

describe('streams placed by the knowledge of home groups', () => {
  const DEPLOYMENT: Omit<PlacementOptions, 'knowledge'> = {
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
    ['a lost failure domain', {lostDomain: 2}, 1.1],
    ['every other engine slower by 1.3', {slowdown: 1.3}, 1.1],
  ];
  for (const [name, change, maxRatio] of loads) {
    it(`take hardly longer than with full knowledge: ${name}`, () => {
      const all = runPlacement({...DEPLOYMENT, ...change, knowledge: 'all'});
      const groups = runPlacement({
        ...DEPLOYMENT,
        ...change,
        knowledge: 'groups',
      });
      assert.ok(groups.meanMs <= maxRatio * all.meanMs, `${groups.meanMs}`);
      assert.ok(groups.lateShare <= all.lateShare + 0.01);
    });
  }

  it('take much less time than without knowledge', () => {
    const groups = runPlacement({...DEPLOYMENT, knowledge: 'groups'});
    const uninformed = runPlacement({...DEPLOYMENT, knowledge: 'nothing'});
    assert.ok(groups.meanMs < 0.85 * uninformed.meanMs, `${uninformed.meanMs}`);
    assert.ok(groups.p99Ms < 0.7 * uninformed.p99Ms);
  });
});
