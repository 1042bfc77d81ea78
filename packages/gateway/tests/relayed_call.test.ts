/** To how many hosts a call is relayed, by what became of it at the first. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RoarrLogger, SeededRandom} from '@irisdock/kernel';
import type {EndpointFailure} from '../src/channels/endpoint_client.js';
import type {HeaderCodec} from '../src/model/request_metadata.js';
import type {ServingRoute} from '../src/model/serving_configuration.js';
import type {
  AdmittedRequest,
  CallerExchange,
} from '../src/serving/caller_exchange.js';
import {sendRelayedCall} from '../src/serving/relayed_call.js';
import {MAX_RELAY_HOSTS, RequestRelay} from '../src/serving/request_relay.js';
import type {ServingParts} from '../src/serving/serving_parts.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const HOSTS = 20;
const ROUTE = {timeoutMs: 1000, maxAttempts: 3} as ServingRoute;

/** Relays a call that fails alike at each host; gives result and sends. */
async function sendFailingCall(
  failure: EndpointFailure,
): Promise<{kind: string; sends: number}> {
  const clock = new VirtualClock();
  const codec: Partial<HeaderCodec> = {
    reportPath: '/report',
    encodeRelay: (lines) => lines,
  };
  const hosts = Array.from({length: HOSTS}, (_, index) => ({
    name: `host-${index}`,
    address: '127.0.0.1:1',
    failureDomain: 'domain',
  }));
  const relay = new RequestRelay({
    codec: codec as HeaderCodec,
    peers: {name: 'own', listRelayHosts: () => hosts},
    deployment: 'tag',
    clock,
    random: new SeededRandom(1),
  });
  let sends = 0;
  relay.client.send = () => {
    sends++;
    return Promise.resolve(failure);
  };
  const exchange: Partial<CallerExchange> = {
    signal: new AbortController().signal,
    method: 'POST',
    path: '/calls/x',
    startedAt: 0,
  };
  const request: Partial<AdmittedRequest> = {
    exchange: exchange as CallerExchange,
    requestId: 'one',
    lines: [],
    body: Buffer.alloc(0),
    callerDeadline: 1000,
  };
  const log = new RoarrLogger('test', 'off');
  const parts: Partial<ServingParts> = {relay, log, clock};
  const {kind} = await sendRelayedCall(parts as ServingParts, {
    request: request as AdmittedRequest,
    route: ROUTE,
    service: 'calls',
    maxRuns: 1,
    resumption: undefined,
  });
  return {kind, sends};
}

describe('a call whose connection to another host failed', () => {
  const failure = {kind: 'lost', detail: 'reset', isRefused: false} as const;

  // Guards against second runs of calls that may run once.
  it('is sent to no other host when it may have run', async () => {
    const result = await sendFailingCall({...failure, mayHaveRun: true});
    assert.deepEqual(result, {kind: 'lost', sends: 1});
  });

  it('is sent to further hosts when it has not run', async () => {
    const result = await sendFailingCall({...failure, mayHaveRun: false});
    assert.deepEqual(result, {kind: 'none', sends: MAX_RELAY_HOSTS});
  });
});
