/** Answers without framing that one host sends to another. */
import assert from 'node:assert/strict';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {RoarrLogger, SeededRandom, SystemClock} from '@irisdock/kernel';
import {Counter, Registry} from 'prom-client';
import {
  LingeringCloses,
  LINGER_BOUNDS,
} from '../src/channels/lingering_closes.js';
import {UNREAD_BOUNDS, UnreadAnswers} from '../src/channels/unread_answers.js';
import type {
  HeaderCodec,
  ResponseMetadata,
} from '../src/model/request_metadata.js';
import type {ServingRoute} from '../src/model/serving_configuration.js';
import {
  CallerExchange,
  type AdmittedRequest,
  type PlainAnswer,
} from '../src/serving/caller_exchange.js';
import {
  sendRelayedCall,
  type RelayedCallResult,
} from '../src/serving/relayed_call.js';
import {RequestRelay} from '../src/serving/request_relay.js';
import type {ServingParts} from '../src/serving/serving_parts.js';

const ROUTE = {timeoutMs: 4000, maxAttempts: 3} as ServingRoute;
const log = new RoarrLogger('test', 'off');

/** What the endpoint of the other host answered. */
function createAnswer(body: string): PlainAnswer {
  const lines = [['X-Other', 'kept']] as const;
  return {status: 200, lines, body: Buffer.from(body), isFramed: false};
}

/** Sends an answer as a host that serves a relayed request does. */
function createSender(
  answer: PlainAnswer,
  handleSent: (response: ServerResponse) => void,
): ReturnType<typeof createServer> {
  const clock = new SystemClock();
  const registers = [new Registry()];
  const options = {name: 'closes', help: 'Closes.', labelNames: ['reason']};
  const closes = new Counter({...options, registers});
  const lingering = new LingeringCloses({
    bounds: LINGER_BOUNDS,
    clock,
    log,
    closes,
  });
  const unread = new UnreadAnswers({bounds: UNREAD_BOUNDS, log, closes});
  const hop = {deployment: 'tag', from: 'own', maxRuns: 1};
  return createServer((message, response) => {
    const exchange = new CallerExchange(
      message,
      response,
      0,
      lingering,
      unread,
      hop,
    );
    exchange.sendAnswer(answer);
    handleSent(response);
  });
}

/** Relays a call to a host that sends this answer. */
async function sendCall(
  answer: PlainAnswer,
  handleSent: (response: ServerResponse) => void = () => undefined,
): Promise<RelayedCallResult> {
  const server = createSender(answer, handleSent);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const clock = new SystemClock();
  const metadata = {requestId: 'one', isSigned: true} as ResponseMetadata;
  const codec: Partial<HeaderCodec> = {
    reportPath: '/report',
    encodeRelay: (lines) => lines,
    encodeResponse: (lines) => lines,
    decodeResponse: () => metadata,
  };
  const host = {name: 'other', address: `127.0.0.1:${port}`};
  const hosts = [{...host, failureDomain: 'domain'}];
  const relay = new RequestRelay({
    codec: codec as HeaderCodec,
    peers: {name: 'own', listRelayHosts: () => hosts},
    deployment: 'tag',
    clock,
    random: new SeededRandom(1),
  });
  const exchange: Partial<CallerExchange> = {
    signal: new AbortController().signal,
    method: 'POST',
    path: '/calls/x',
    startedAt: 0,
  };
  const request: Partial<AdmittedRequest> = {
    exchange: exchange as CallerExchange,
    requestId: 'one',
    lines: [['Host', 'x']],
    body: Buffer.alloc(0),
    callerDeadline: Infinity,
  };
  const parts: Partial<ServingParts> = {relay, log, clock};
  try {
    return await sendRelayedCall(parts as ServingParts, {
      request: request as AdmittedRequest,
      route: ROUTE,
      service: 'calls',
      maxRuns: 1,
      resumption: undefined,
    });
  } finally {
    relay.close();
    server.closeAllConnections();
    server.close();
  }
}

describe('an answer without framing that another host relays', () => {
  // Guards against a relaying host that exits amid such an answer: the end of
  // its connection passed for the end of the answer.
  it('is lost when the host closes its connection within the body', async () => {
    // More than the kernel's buffers take, so it is still being sent.
    const answer = createAnswer('a'.repeat(8_000_000));
    const result = await sendCall(answer, (response) => {
      setImmediate(() => response.destroy());
    });
    assert.equal(result.kind, 'lost');
  });

  // Guards against a length that the endpoint did not vouch for.
  it('keeps its lines and goes on without framing', async () => {
    const result = await sendCall(createAnswer('the body'));
    assert.ok(result.kind === 'answer');
    assert.equal(result.answer.body.toString(), 'the body');
    assert.equal(result.answer.isFramed, false);
    const names = result.answer.lines.map(([name]) => name.toLowerCase());
    assert.ok(names.includes('x-other'));
    assert.ok(!names.includes('irisdock-framing'));
  });
});
