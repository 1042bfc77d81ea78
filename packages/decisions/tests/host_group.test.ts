/** Which hosts tell each other of their streams. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createHostGroups, type GroupedHost} from '@irisdock/decisions';
import {getShuffled, SeededRandom} from '@irisdock/kernel';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

function createHosts(count: number, domains: number): GroupedHost[] {
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
