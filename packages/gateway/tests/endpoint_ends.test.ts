/** The announced ends of endpoints, in the table and in their records. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RoarrLogger, type Clock} from '@irisdock/kernel';
import {ok} from 'neverthrow';
import type {EndpointEntry} from '../src/model/endpoint_entry.js';
import {DrainingEndpoints} from '../src/services/draining_endpoints.js';
import {
  GatewayEndpoints,
  type GatewayEndpointsParts,
} from '../src/services/gateway_endpoints.js';
import {createEndpoint} from './fixtures/endpoints.js';

/** Not the default, in ms. */
const DRAIN_MS = 4200;

/** Endpoints whose rows hold entries as JSON. */
function createEndpoints(isScaled: boolean): GatewayEndpoints {
  const clock: Partial<Clock> = {getNow: () => 0};
  const peers: Partial<GatewayEndpointsParts['peers']> = {listAlive: () => []};
  const parts: Partial<GatewayEndpointsParts> = {
    codec: {decode: (_key, value) => ok(JSON.parse(value) as EndpointEntry)},
    clock: clock as Clock,
    log: new RoarrLogger('test', 'off'),
    getMemoryTokens: () => 1000,
    isServiceConfigured: () => true,
    isScaled: () => isScaled,
    drainMs: DRAIN_MS,
    draining: new DrainingEndpoints({
      confirmations: {
        findBefore: () => undefined,
        computeTime: () => -Infinity,
        dropLastReady: () => undefined,
        findLastReady: () => undefined,
        recordLastReady: () => undefined,
      },
      pollStore: () => Promise.resolve(),
      drainMs: DRAIN_MS,
      clock: clock as Clock,
    }),
    peers: peers as GatewayEndpointsParts['peers'],
  };
  return new GatewayEndpoints(parts as GatewayEndpointsParts);
}

function putEntry(
  endpoints: GatewayEndpoints,
  change: Partial<EndpointEntry>,
): void {
  const entry = {...createEndpoint('e').entry, ...change};
  const row = {key: 'e', value: JSON.stringify(entry), revision: 1};
  endpoints.applyRows([row]);
}

describe('the announced end of an endpoint', () => {
  // Guards against work on each of the many entries that count down.
  it('causes no change when only the time that is left changes', () => {
    const endpoints = createEndpoints(true);
    putEntry(endpoints, {});
    let changes = 0;
    endpoints.handleChange = () => {
      changes++;
    };
    for (const leavesMs of [2400, 2300, 2200, 2350]) {
      putEntry(endpoints, {state: 'leaving', leavesMs});
    }
    assert.equal(changes, 1);
    assert.equal(endpoints.find('e')?.endsAt, 2200);
  });

  it('follows from the drain of a service that is scaled', () => {
    for (const isScaled of [true, false]) {
      const endpoints = createEndpoints(isScaled);
      putEntry(endpoints, {});
      putEntry(endpoints, {state: 'leaving'});
      const endsAt = endpoints.find('e')?.endsAt;
      assert.equal(endsAt, isScaled ? DRAIN_MS : undefined);
    }
  });

  it('is told once to those who watch it, and at once to later ones', () => {
    const record = createEndpoint('e');
    const ends: number[] = [];
    record.watchEnd((endsAt) => ends.push(endsAt));
    record.watchEnd((endsAt) => ends.push(endsAt))();
    record.recordEnd(500);
    record.recordEnd(400);
    record.watchEnd((endsAt) => ends.push(endsAt));
    assert.deepEqual(ends, [500, 400]);
  });
});
