/** Simulates failure detection and gossip among a few to hundreds of hosts. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  BEAT_MS,
  GossipSimulation,
  type SimulatedHost,
} from './fixtures/gossip_simulation.js';

/** Numbers of hosts and of failure domains. */
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

function getHost(simulation: GossipSimulation, index: number): SimulatedHost {
  const host = simulation.hosts[index];
  assert.ok(host !== undefined);
  return host;
}

/**
 * Measures the share of pairs of running hosts of which one does not believe
 * the other to be alive.
 */
function measureFalseSuspicionRate(
  simulation: GossipSimulation,
  ms: number,
): number {
  let suspected = 0;
  let pairs = 0;
  const endAt = simulation.now + ms;
  while (simulation.now < endAt) {
    simulation.run(BEAT_MS);
    const counts = simulation.countFalseSuspicions();
    suspected += counts.suspected;
    pairs += counts.pairs;
  }
  return suspected / pairs;
}

/** Measures how long each running host takes to detect a stopped one, in ms. */
function measureDetectionDelays(
  simulation: GossipSimulation,
  stopped: SimulatedHost,
  ms: number,
): number[] {
  const startedAt = simulation.now;
  const delays = new Map<string, number>();
  simulation.run(ms, () => {
    for (const host of simulation.hosts) {
      if (!host.isRunning || delays.has(host.name)) continue;
      if (simulation.isBelievedAlive(host, stopped)) continue;
      delays.set(host.name, simulation.now - startedAt);
    }
  });
  return [...delays.values()].sort((a, b) => a - b);
}

describe('FailureDetector', () => {
  for (const [hosts, domains] of SIZES) {
    it(`suspects no live host among ${hosts}, at bounded traffic`, () => {
      const simulation = createSimulation(hosts, domains);
      for (const host of simulation.hosts) host.sentDatagrams = 0;
      const ms = 9000;
      assert.ok(measureFalseSuspicionRate(simulation, ms) <= 1e-4);
      let sent = 0;
      for (const host of simulation.hosts) sent += host.sentDatagrams;
      const perSecond = sent / hosts / (ms / 1000);
      // Few hosts probe three others in a beat, many hosts probe one. The rest
      // of the messages are relays.
      assert.ok(perSecond < (hosts <= 17 ? 26 : 14), `${perSecond}`);
    });

    it(`soon detects that one of ${hosts} hosts was killed`, () => {
      const simulation = createSimulation(hosts, domains);
      const stopped = getHost(simulation, 1);
      stopped.isRunning = false;
      const delays = measureDetectionDelays(simulation, stopped, 3000);
      assert.equal(delays.length, hosts - 1);
      assert.ok((delays[Math.floor(delays.length / 2)] ?? Infinity) <= 1500);
      assert.ok((delays.at(-1) ?? Infinity) <= 2500);
    });
  }

  it('detects that half of 195 hosts were killed at once', () => {
    const simulation = createSimulation(195, 6);
    const killed = simulation.hosts.slice(0, 97);
    for (const host of killed) host.isRunning = false;
    simulation.run(3000);
    for (const host of simulation.hosts.slice(97)) {
      const suspected = killed.filter(
        (other) => !simulation.isBelievedAlive(host, other),
      );
      assert.equal(suspected.length, killed.length);
    }
    assert.equal(simulation.countFalseSuspicions().suspected, 0);
  });

  it('believes a host alive soon after it was frozen for 4 s', () => {
    const simulation = createSimulation(195, 6);
    const frozen = getHost(simulation, 7);
    frozen.isRunning = false;
    simulation.run(4000);
    frozen.isRunning = true;
    simulation.run(1500);
    assert.equal(simulation.countFalseSuspicions().suspected, 0);
  });

  it('believes a restarted host alive, even if its clock was set back', () => {
    const simulation = createSimulation(195, 6);
    const host = getHost(simulation, 3);
    host.isRunning = false;
    simulation.run(500);
    simulation.startNewIncarnation(host, getHost(simulation, 20), -1);
    simulation.run(2000);
    assert.equal(simulation.countFalseSuspicions().suspected, 0);
    for (const other of simulation.hosts) {
      if (other === host) continue;
      const known = other.detector.view.find(host.name)?.record;
      assert.deepEqual(known, host.detector.view.ownRecord);
    }
  });

  it('recovers from a network partition of 8 s', () => {
    const simulation = createSimulation(195, 6);
    simulation.isDropped = (a, b) => a.domain < 3 !== b.domain < 3;
    simulation.run(8000);
    const {suspected, pairs} = simulation.countFalseSuspicions();
    assert.ok(suspected / pairs > 0.4);
    simulation.isDropped = () => false;
    simulation.run(4000);
    const after = simulation.countFalseSuspicions();
    assert.ok(after.suspected / after.pairs <= 1e-4);
    simulation.run(2000);
    assert.equal(simulation.countFalseSuspicions().suspected, 0);
  });

  it('suspects few others on a host that is cut off itself', () => {
    const simulation = createSimulation(100, 6);
    const isolated = getHost(simulation, 9);
    simulation.isDropped = (a, b) => a === isolated || b === isolated;
    simulation.run(6000);
    const suspected = simulation.hosts.filter(
      (other) =>
        other !== isolated && !simulation.isBelievedAlive(isolated, other),
    );
    // It receives nothing, and stops suspecting others after a few beats.
    assert.ok(suspected.length <= 15, `${suspected.length}`);
    simulation.isDropped = () => false;
    simulation.run(2500);
    assert.equal(simulation.countFalseSuspicions().suspected, 0);
  });

  it('tracks a failure domain whose hosts are restarted in turn', () => {
    const simulation = createSimulation(195, 6);
    const domain = simulation.hosts.filter(({domain: at}) => at === 2);
    const seed = getHost(simulation, 0);
    for (const host of domain) {
      host.detector.updateOwn({state: 'leaving', isStoreAway: false});
      simulation.run(100);
      host.isRunning = false;
      simulation.run(100);
      simulation.startNewIncarnation(host, seed);
    }
    simulation.run(2000);
    assert.equal(simulation.countFalseSuspicions().suspected, 0);
  });

  it('converges to the same records on all hosts', () => {
    const simulation = createSimulation(100, 6);
    for (const host of simulation.hosts.slice(0, 30)) {
      host.detector.updateOwn({state: 'leaving', isStoreAway: true});
    }
    simulation.run(4000);
    const hashes = simulation.hosts.map(
      ({detector}) => detector.view.recordsHash,
    );
    assert.equal(new Set(hashes).size, 1);
  });
});
