/** Tells changes after which a stream may have begun at another service. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  formatStreamRouting,
  type StreamRoute,
} from '../src/model/stream_routing.js';

function createStreamRoute(
  services: readonly string[],
  change: Partial<StreamRoute> = {},
): StreamRoute {
  const shares = services.map((service) => ({service, weight: 1}));
  const place = {hostName: 'x.example', pathPrefix: '/a/'};
  return {kind: 'stream', ...place, shares, ...change};
}

describe('the routing of streams', () => {
  it('is the same whatever the weights and the order', () => {
    const one = createStreamRoute(['a', 'b']);
    const other = createStreamRoute(['c'], {pathPrefix: '/c/'});
    const weighted = one.shares.map(({service}) => ({service, weight: 0}));
    const shares = [...weighted].reverse();
    assert.equal(
      formatStreamRouting([one, other]),
      formatStreamRouting([other, {...one, shares}]),
    );
  });

  it('is the same whatever the routes if all streams go to one service', () => {
    const one = createStreamRoute(['a']);
    const other = createStreamRoute(['a'], {pathPrefix: '/c/'});
    const call = createStreamRoute(['b'], {kind: 'once'});
    assert.equal(formatStreamRouting([one]), 'a');
    assert.equal(formatStreamRouting([one, other, call]), 'a');
  });

  it('differs if a path leads elsewhere, also by a longer prefix', () => {
    const routes = [
      createStreamRoute(['a']),
      createStreamRoute(['b'], {pathPrefix: '/b/'}),
    ];
    const longer = createStreamRoute(['b'], {pathPrefix: '/a/b/'});
    const moved = createStreamRoute(['a'], {pathPrefix: '/b/'});
    const texts = [
      formatStreamRouting(routes),
      formatStreamRouting([...routes, longer]),
      formatStreamRouting([createStreamRoute(['b']), moved]),
      formatStreamRouting([createStreamRoute(['b'])]),
      formatStreamRouting([]),
    ];
    assert.equal(new Set(texts).size, texts.length);
  });
});
