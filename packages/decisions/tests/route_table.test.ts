/** Tests of routes, against a naive search, and of weighted shares. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {chooseShare, findRouteNaively, RouteTable} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const NAMES = ['one.example', 'two.example'];
const PREFIXES = ['/', '/a/', '/a/b/', '/a/bc/', '/b/', '/a/b/c/'];
const PATHS = ['/', '/a', '/a/', '/a/b/x', '/a/b/c/d?q=/b/', '/a/bc/x', '/c/'];

const routes = fc.array(
  fc.record({
    hostName: fc.constantFrom(...NAMES),
    pathPrefix: fc.constantFrom(...PREFIXES),
    id: fc.integer(),
  }),
);

describe('a route table', () => {
  it('finds the same route as a linear search', () => {
    fc.assert(
      fc.property(
        routes,
        fc.constantFrom(...NAMES),
        fc.constantFrom(...PATHS),
        (list, hostName, path) => {
          const found = new RouteTable(list).find(hostName, path);
          const bare = path.split('?')[0] ?? '';
          const naive = findRouteNaively(list, hostName, bare);
          assert.equal(found, naive);
        },
      ),
      RUN_OPTIONS,
    );
  });

  it('accepts a host name with a port and in any case', () => {
    const route = {hostName: 'one.example', pathPrefix: '/a/'};
    const table = new RouteTable([route]);
    assert.equal(table.find('One.Example:8080', '/a/x'), route);
    assert.equal(table.find('other.example', '/a/x'), undefined);
  });
});

describe('shares', () => {
  it('are chosen by weight, and never with a weight of 0', () => {
    const shares = [
      {name: 'none', weight: 0},
      {name: 'most', weight: 90},
      {name: 'some', weight: 10},
    ];
    assert.equal(chooseShare(shares, 0)?.name, 'most');
    assert.equal(chooseShare(shares, 0.89)?.name, 'most');
    assert.equal(chooseShare(shares, 0.91)?.name, 'some');
    assert.equal(chooseShare([{weight: 0}], 0.5), undefined);
  });
});
