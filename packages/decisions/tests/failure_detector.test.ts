/** How hosts keep track of each other, from a few to hundreds of them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  BEAT_MS,
  GossipSimulation,
  type SimulatedHost,
} from './fixtures/gossip_simulation.js';

const SIZES: readonly [number, number][] = [
  [9, 3],
  [30, 3],
  [100, 6],
  [195, 6],
  [350, 21],
];
const SEED = 5;

function createSimulation(hosts: number, domains: number): GossipSimulation {
  const simulation = new GossipSimulation({hosts, domains, seed: SEED});
  simulation.run(3000);
  return simulation;
}

function getHost(simulation: GossipSimulation, at: number): SimulatedHost {
  const host = simulation.hosts[at];
  assert.ok(host !== undefined);
  return host;
}

/** Gives the part of pairs of running hosts of which one doubts the other. */
function measureDoubt(simulation: GossipSimulation, ms: number): number {
  let doubted = 0;
  let pairs = 0;
  const until = simulation.now + ms;
  while (simulation.now < until) {
    simulation.run(BEAT_MS);
    const counted = simulation.countDoubted();
    doubted += counted.doubted;
    pairs += counted.pairs;
  }
  return doubted / pairs;
}

/** Gives after how long each running host doubts one that was stopped. */
function measureNoticed(
  simulation: GossipSimulation,
  stopped: SimulatedHost,
  ms: number,
): number[] {
  const startedAt = simulation.now;
  const noticed = new Map<string, number>();
  simulation.run(ms, () => {
    for (const host of simulation.hosts) {
      if (!host.isRunning || noticed.has(host.name)) continue;
      if (simulation.isBelievedAlive(host, stopped)) continue;
      noticed.set(host.name, simulation.now - startedAt);
    }
  });
  return [...noticed.values()].sort((a, b) => a - b);
}

describe('hosts that keep track of each other', () => {
  for (const [hosts, domains] of SIZES) {
    it(`do not doubt live ones among ${hosts}, at a level cost`, () => {
      const simulation = createSimulation(hosts, domains);
      for (const host of simulation.hosts) host.sent = 0;
      const ms = 9000;
      assert.ok(measureDoubt(simulation, ms) <= 1e-4);
      let sent = 0;
      for (const host of simulation.hosts) sent += host.sent;
      const perSecond = sent / hosts / (ms / 1000);
      // Few hosts ask three others in a beat, many one; the rest are relays.
      assert.ok(perSecond < (hosts <= 17 ? 26 : 14), `${perSecond}`);
    });

    it(`know soon of one of ${hosts} that was killed`, () => {
      const simulation = createSimulation(hosts, domains);
      const stopped = getHost(simulation, 1);
      stopped.isRunning = false;
      const noticed = measureNoticed(simulation, stopped, 3000);
      assert.equal(noticed.length, hosts - 1);
      assert.ok((noticed[Math.floor(noticed.length / 2)] ?? Infinity) <= 1500);
      assert.ok((noticed.at(-1) ?? Infinity) <= 2500);
    });
  }

  it('know of half of 195 that were killed in one moment', () => {
    const simulation = createSimulation(195, 6);
    const killed = simulation.hosts.slice(0, 97);
    for (const host of killed) host.isRunning = false;
    simulation.run(3000);
    for (const host of simulation.hosts.slice(97)) {
      const doubted = killed.filter(
        (one) => !simulation.isBelievedAlive(host, one),
      );
      assert.equal(doubted.length, killed.length);
    }
    assert.equal(simulation.countDoubted().doubted, 0);
  });

  it('believe one that was frozen for 4 s as soon as it wakes', () => {
    const simulation = createSimulation(195, 6);
    const frozen = getHost(simulation, 7);
    frozen.isRunning = false;
    simulation.run(4000);
    frozen.isRunning = true;
    simulation.run(1500);
    assert.equal(simulation.countDoubted().doubted, 0);
  });

  it('believe a host that starts anew, also with an older clock', () => {
    const simulation = createSimulation(195, 6);
    const host = getHost(simulation, 3);
    host.isRunning = false;
    simulation.run(500);
    simulation.startAgain(host, getHost(simulation, 20), -1);
    simulation.run(2000);
    assert.equal(simulation.countDoubted().doubted, 0);
    for (const other of simulation.hosts) {
      if (other === host) continue;
      const known = other.watch.view.find(host.name)?.record;
      assert.deepEqual(known, host.watch.view.ownRecord);
    }
  });

  it('are one deployment again after half was cut off for 8 s', () => {
    const simulation = createSimulation(195, 6);
    simulation.isCut = (a, b) => a.domain < 3 !== b.domain < 3;
    simulation.run(8000);
    const {doubted, pairs} = simulation.countDoubted();
    assert.ok(doubted / pairs > 0.4);
    simulation.isCut = () => false;
    simulation.run(4000);
    const after = simulation.countDoubted();
    assert.ok(after.doubted / after.pairs <= 1e-4);
    simulation.run(2000);
    assert.equal(simulation.countDoubted().doubted, 0);
  });

  it('do not take the word of one that is cut off itself', () => {
    const simulation = createSimulation(100, 6);
    const alone = getHost(simulation, 9);
    simulation.isCut = (a, b) => a === alone || b === alone;
    simulation.run(6000);
    const doubted = simulation.hosts.filter(
      (other) => other !== alone && !simulation.isBelievedAlive(alone, other),
    );
    // It hears nobody, and says so of itself before it says it of most others.
    assert.ok(doubted.length <= 15, `${doubted.length}`);
    simulation.isCut = () => false;
    simulation.run(2500);
    assert.equal(simulation.countDoubted().doubted, 0);
  });

  it('know of a whole domain that is stopped in turn and started anew', () => {
    const simulation = createSimulation(195, 6);
    const domain = simulation.hosts.filter(({domain: at}) => at === 2);
    const seed = getHost(simulation, 0);
    for (const host of domain) {
      host.watch.updateOwn({state: 'leaving', isStoreAway: false});
      simulation.run(100);
      host.isRunning = false;
      simulation.run(100);
      simulation.startAgain(host, seed);
    }
    simulation.run(2000);
    assert.equal(simulation.countDoubted().doubted, 0);
  });

  it('know the same records in the end', () => {
    const simulation = createSimulation(100, 6);
    for (const host of simulation.hosts.slice(0, 30)) {
      host.watch.updateOwn({state: 'leaving', isStoreAway: true});
    }
    simulation.run(4000);
    const hashes = simulation.hosts.map(({watch}) => watch.view.recordsHash);
    assert.equal(new Set(hashes).size, 1);
  });
});
