/** Which hosts tell each other of their streams, and whom callers are told. */
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
  return Array.from({length: count}, (_, at) => ({
    name: `host-${at}`,
    failureDomain: `domain-${at % domains}`,
  }));
}

const DEPLOYMENTS = fc.record({
  count: fc.integer({min: 1, max: 400}),
  domains: fc.integer({min: 1, max: 21}),
  seed: fc.integer(),
});

describe('groups of hosts', () => {
  it('hold each host once, are small, and of one failure domain', () => {
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

  it('are found alike from the same names in any order', () => {
    fc.assert(
      fc.property(DEPLOYMENTS, ({count, domains, seed}) => {
        const hosts = createHosts(count, domains);
        const other = getShuffled(hosts, new SeededRandom(seed));
        assert.deepEqual(createHostGroups(other), createHostGroups(hosts));
      }),
      RUN_OPTIONS,
    );
  });
});

describe('the hosts of an address answer', () => {
  const size = {maxHosts: 64, minOtherDomain: 5, minHosts: 16};

  it('are near ones and some far ones, as many as fit, each once', () => {
    fc.assert(
      fc.property(DEPLOYMENTS, ({count, domains, seed}) => {
        const hosts = createHosts(count, domains);
        const random = new SeededRandom(seed);
        const chosen = chooseHosts(hosts, 'domain-0', size, random);
        assert.equal(new Set(chosen).size, chosen.length);
        assert.ok(chosen.length <= size.maxHosts);
        assert.ok(chosen.length >= Math.min(count, size.minHosts));
        const isNear = ({failureDomain}: HostLocation): boolean =>
          failureDomain === 'domain-0';
        const near = hosts.filter(isNear).length;
        const far = count - near;
        const chosenNear = chosen.filter(isNear).length;
        assert.ok(
          chosenNear >= Math.min(near, size.maxHosts - size.minOtherDomain),
        );
        assert.ok(
          chosen.length - chosenNear >= Math.min(far, size.minOtherDomain),
        );
      }),
      RUN_OPTIONS,
    );
  });

  it('are each host as often as another, over many answers', () => {
    const hosts = createHosts(195, 6);
    const random = new SeededRandom(3);
    const told = new Map<string, number>();
    const answers = 600;
    for (let at = 0; at < answers; at++) {
      const domain = `domain-${at % 6}`;
      for (const {name} of chooseHosts(hosts, domain, size, random)) {
        told.set(name, (told.get(name) ?? 0) + 1);
      }
    }
    assert.equal(told.size, hosts.length);
    const counts = [...told.values()];
    assert.ok(Math.max(...counts) < 1.2 * Math.min(...counts));
  });
});
