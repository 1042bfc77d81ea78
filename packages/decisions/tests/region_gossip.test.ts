/** Membership over several regions, with the links between them gone. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  GossipSimulation,
  type SimulatedHost,
} from './fixtures/gossip_simulation.js';

const REGIONS = 3;
const SIZE = {hosts: 72, domains: 6, regions: REGIONS, loss: 0.01};

/** Runs until a condition holds, at most 20 s; returns the time in ms. */
function runUntil(simulation: GossipSimulation, isMet: () => boolean): number {
  const startAt = simulation.now;
  while (!isMet() && simulation.now - startAt < 20_000) simulation.run(50);
  return simulation.now - startAt;
}

/** Whether all running hosts agree whether the given hosts are alive. */
function hasAgreement(
  simulation: GossipSimulation,
  subjects: readonly SimulatedHost[],
  isAlive: boolean,
): boolean {
  return simulation.hosts
    .filter(({isRunning}) => isRunning)
    .every((host) =>
      subjects.every(
        (subject) =>
          subject === host ||
          simulation.isBelievedAlive(host, subject) === isAlive,
      ),
    );
}

describe('hosts in several regions', () => {
  it('send few datagrams to other regions while nothing changes', () => {
    const counts = [true, false].map((isRegionAware) => {
      const simulation = new GossipSimulation({
        ...SIZE,
        seed: 1,
        isRegionAware,
      });
      simulation.run(2000);
      simulation.farDatagrams = 0;
      simulation.run(20_000);
      return simulation.farDatagrams / 20;
    });
    const [aware = 0, unaware = 0] = counts;
    assert.ok(aware < unaware / 4, `${aware} of ${unaware}`);
  });

  it('learn of hosts lost in any region', () => {
    for (const seed of [1, 2, 3]) {
      const simulation = new GossipSimulation({...SIZE, seed});
      simulation.run(3000);
      const lost = simulation.hosts.filter(({domain}) => domain === 4);
      for (const host of lost) host.isRunning = false;
      const ms = runUntil(simulation, () =>
        hasAgreement(simulation, lost, false),
      );
      assert.ok(ms < 4000, `${ms}`);
    }
  });

  it('serve each region alone without links, and all again with them', () => {
    for (const seed of [1, 2, 3]) {
      const simulation = new GossipSimulation({...SIZE, seed});
      simulation.run(3000);
      const getRegion = simulation.getRegion.bind(simulation);
      simulation.isDropped = (from, to) => getRegion(from) !== getRegion(to);
      const isSplit = (): boolean =>
        simulation.hosts.every((host) =>
          simulation.hosts.every(
            (other) =>
              other === host ||
              simulation.isBelievedAlive(host, other) ===
                (getRegion(host) === getRegion(other)),
          ),
        );
      const splitMs = runUntil(simulation, isSplit);
      simulation.run(2000);
      assert.ok(splitMs < 10_000 && isSplit(), `${splitMs}`);
      simulation.isDropped = () => false;
      const healMs = runUntil(
        simulation,
        () => simulation.countFalseSuspicions().suspected === 0,
      );
      assert.ok(healMs < 10_000, `${healMs}`);
    }
  });
});
