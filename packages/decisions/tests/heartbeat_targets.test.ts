/** Heartbeats among many hosts: who gets them, and that all hear of all. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseHeartbeatTargets,
  HeardHosts,
  type HostHeartbeat,
} from '@irisdock/decisions';
import {getShuffled, SeededRandom} from '@irisdock/kernel';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const COUNTS = {near: 4, far: 2};
const BEAT_MS = 300;
const SILENT_AFTER_MS = 1300;
const DIGESTS = 40;
const DOMAINS = ['one', 'two', 'three', 'four'];

interface NamedHeartbeat extends HostHeartbeat {
  readonly name: string;
  readonly failureDomain: string;
}

/** Hosts that send each other heartbeats with what they heard of others. */
class Simulation {
  private readonly random = new SeededRandom(3);
  private readonly heard = new Map<string, HeardHosts<NamedHeartbeat>>();
  private readonly hosts: {name: string; failureDomain: string}[] = [];
  private sequence = 0;

  constructor(count: number) {
    for (let index = 0; index < count; index++) {
      const failureDomain = DOMAINS[index % DOMAINS.length] ?? '';
      this.hosts.push({name: `host-${index}`, failureDomain});
    }
    for (const {name} of this.hosts) {
      const known = new HeardHosts<NamedHeartbeat>({
        silentAfterMs: SILENT_AFTER_MS,
        forgetAfterMs: 60_000,
      });
      for (const other of this.hosts) {
        if (other.name !== name) known.accept(other.name, createBeat(other), 0);
      }
      this.heard.set(name, known);
    }
  }

  /** Runs beats; gives the part of pairs that count as heard at the end. */
  run(beats: number, stopped: ReadonlySet<string>): number {
    for (let beat = 0; beat < beats; beat++) {
      this.sequence++;
      for (const host of getShuffled(this.hosts, this.random)) {
        if (!stopped.has(host.name)) this.sendBeat(host);
      }
    }
    return this.countHeard(stopped);
  }

  private get now(): number {
    return this.sequence * BEAT_MS;
  }

  private sendBeat(host: {name: string; failureDomain: string}): void {
    const own = this.heard.get(host.name);
    if (own === undefined) return;
    const listed = getShuffled(own.listHeard(this.now), this.random);
    const targets = chooseHeartbeatTargets(listed, host.failureDomain, COUNTS);
    const told = getShuffled(listed, this.random).slice(0, DIGESTS);
    const beat = createBeat(host, this.sequence);
    for (const target of targets) {
      const heard = this.heard.get(target.name);
      for (const one of [beat, ...told]) {
        if (one.name !== target.name) heard?.accept(one.name, one, this.now);
      }
    }
  }

  private countHeard(stopped: ReadonlySet<string>): number {
    let pairs = 0;
    let heard = 0;
    for (const [name, known] of this.heard) {
      if (stopped.has(name)) continue;
      const names = new Set(known.listHeard(this.now).map((one) => one.name));
      for (const other of this.hosts) {
        if (other.name === name) continue;
        pairs++;
        // A stopped host must not be heard, any other must.
        if (names.has(other.name) !== stopped.has(other.name)) heard++;
      }
    }
    return heard / pairs;
  }
}

function createBeat(
  host: {readonly name: string; readonly failureDomain: string},
  sequence = 0,
): NamedHeartbeat {
  return {...host, sequence, incarnation: 1, state: 'ready'};
}

describe('the targets of heartbeats', () => {
  it('are as many as there can be, near ones first, some of them far', () => {
    const hosts = fc.array(
      fc.record({failureDomain: fc.constantFrom('one', 'two', 'three')}),
      {maxLength: 20},
    );
    fc.assert(
      fc.property(hosts, (list) => {
        const targets = chooseHeartbeatTargets(list, 'one', COUNTS);
        const all = COUNTS.near + COUNTS.far;
        assert.equal(targets.length, Math.min(all, list.length));
        assert.equal(new Set(targets).size, targets.length);
        const far = list.filter((one) => one.failureDomain !== 'one').length;
        const chosenFar = targets.filter(
          (one) => one.failureDomain !== 'one',
        ).length;
        assert.ok(chosenFar >= Math.min(far, COUNTS.far));
      }),
      RUN_OPTIONS,
    );
  });

  it('let 72 hosts hear of all that live, and of none that stopped', () => {
    const simulation = new Simulation(72);
    assert.equal(simulation.run(30, new Set()), 1);
    const stopped = new Set(['host-3', 'host-4', 'host-40']);
    assert.equal(simulation.run(12, stopped), 1);
  });
});
