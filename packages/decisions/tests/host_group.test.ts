/** Groups of hosts, and the hosts that callers are choices to use. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseHosts,
  createHostGroups,
  type HostLocation,
} from '@irisdock/decisions';
import {getShuffled, SeededRandom} from '@irisdock/kernel';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

function createHosts(count: number, domains: number): HostLocation[] {
  return Array.from({length: count}, (_, index) => ({
    name: `host-${index}`,
    failureDomain: `domain-${index % domains}`,
  }));
}

const DEPLOYMENTS = fc.record({
  count: fc.integer({min: 1, max: 400}),
  domains: fc.integer({min: 1, max: 21}),
  seed: fc.integer(),
});

describe('createHostGroups', () => {
  it('puts each host into one small group of its failure domain', () => {
    fc.assert(
      fc.property(DEPLOYMENTS, ({count, domains}) => {
        const hosts = createHosts(count, domains);
        const groups = createHostGroups(hosts);
        const names = groups.flatMap((group) => group.names);
        assert.equal(names.length, count);
        assert.equal(new Set(names).size, count);
        if (groups.length === 1 && count <= 17) return;
        const domainOf = new Map(
          hosts.map(({name, failureDomain}) => [name, failureDomain]),
        );
        for (const group of groups) {
          assert.ok(group.names.length <= 8);
          for (const name of group.names) {
            assert.equal(domainOf.get(name), group.failureDomain);
          }
        }
      }),
      RUN_OPTIONS,
    );
  });

  it('does not depend on the order of the hosts', () => {
    fc.assert(
      fc.property(DEPLOYMENTS, ({count, domains, seed}) => {
        const hosts = createHosts(count, domains);
        const shuffled = getShuffled(hosts, new SeededRandom(seed));
        assert.deepEqual(createHostGroups(shuffled), createHostGroups(hosts));
      }),
      RUN_OPTIONS,
    );
  });
});

describe('chooseHosts', () => {
  const limits = {maxHosts: 64, minOtherDomain: 5, minHosts: 16};

  it('chooses hosts of the own domain and some of others, each once', () => {
    fc.assert(
      fc.property(DEPLOYMENTS, ({count, domains, seed}) => {
        const hosts = createHosts(count, domains);
        const random = new SeededRandom(seed);
        const chosen = chooseHosts(hosts, 'domain-0', limits, random);
        assert.equal(new Set(chosen).size, chosen.length);
        assert.ok(chosen.length <= limits.maxHosts);
        assert.ok(chosen.length >= Math.min(count, limits.minHosts));
        const isLocal = ({failureDomain}: HostLocation): boolean =>
          failureDomain === 'domain-0';
        const local = hosts.filter(isLocal).length;
        const remote = count - local;
        const chosenLocal = chosen.filter(isLocal).length;
        assert.ok(
          chosenLocal >=
            Math.min(local, limits.maxHosts - limits.minOtherDomain),
        );
        assert.ok(
          chosen.length - chosenLocal >=
            Math.min(remote, limits.minOtherDomain),
        );
      }),
      RUN_OPTIONS,
    );
  });

  it('chooses all hosts about equally often', () => {
    const hosts = createHosts(195, 6);
    const random = new SeededRandom(3);
    const choices = new Map<string, number>();
    const answers = 600;
    for (let index = 0; index < answers; index++) {
      const domain = `domain-${index % 6}`;
      for (const {name} of chooseHosts(hosts, domain, limits, random)) {
        choices.set(name, (choices.get(name) ?? 0) + 1);
      }
    }
    assert.equal(choices.size, hosts.length);
    const counts = [...choices.values()];
    assert.ok(Math.max(...counts) < 1.2 * Math.min(...counts));
  });
});
