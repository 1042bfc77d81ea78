/** How answers of plain services reach callers of the daemon. */
import assert from 'node:assert/strict';
import {createServer, type IncomingHttpHeaders} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import type {PlainAnswer} from '@irisdock/endpoints';
import {WebRequest} from '@irisdock/web';
import {ok} from 'neverthrow';
import {PlainRoute, type PlainParts} from '../src/caller/plain_route.js';
import type {PlainRequest} from '../src/services/plain_calls.js';

/** An answer of which a part has come. */
interface BegunAnswer {
  readonly answer: PlainAnswer;
  /** Ends or cuts the body. */
  readonly finish: () => void;
}

function createAnswer(
  isFramed: boolean,
  isCut: boolean,
  headers: IncomingHttpHeaders = {},
): BegunAnswer {
  const body = new PassThrough();
  body.write('part');
  return {
    answer: {status: 200, headers, body, isFramed},
    finish: () => {
      if (isCut) body.destroy(new Error('cut'));
      else body.end();
    },
  };
}

function createRoute(
  answer: PlainAnswer,
  calls: PlainRequest['call'][],
): PlainRoute {
  const specs: Record<string, unknown> = {
    service: {type: 'plain', maxQueue: 1, maxQueueMs: 1000, repeatable: false},
    team: {services: [], weight: 1, maxInFlight: 1},
  };
  const parts = {
    findRefusal: () => undefined,
    createOwnId: () => 'one',
    configuration: {
      findSpec: (kind: string) => specs[kind],
      listSpecs: () => [],
    },
    ownership: {parseId: (id: string) => ({id})},
    calls: {
      serve: ({call}: PlainRequest) => {
        calls.push(call);
        return Promise.resolve(ok(answer));
      },
    },
  };
  return new PlainRoute(parts as unknown as PlainParts);
}

/** What arrived of a call's answer, and whether the end was a reset. */
interface CallResult {
  readonly text: string;
  readonly isReset: boolean;
  /** The calls that went to endpoints. */
  readonly calls: readonly PlainRequest['call'][];
}

/** Calls the route with further header lines. */
async function sendCall(
  {answer, finish}: BegunAnswer,
  lines = 'Connection: close\r\n',
): Promise<CallResult> {
  const calls: PlainRequest['call'][] = [];
  const route = createRoute(answer, calls);
  const limits = {maxBytes: 1000, maxMs: 1000};
  const server = createServer((message, response) => {
    const parameters = {service: 'orders', rest: 'x'};
    void route.handle(new WebRequest(message, response, parameters, limits));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const head = `GET / HTTP/1.1\r\nHost: x\r\n${lines}`;
  socket.write(`${head}X-Irisdock-Team: one\r\n\r\n`);
  let text = '';
  let isReset = false;
  socket.on('data', (part) => {
    text += part.toString();
    if (text.includes('part')) finish();
  });
  socket.on('error', () => (isReset = true));
  // A reset socket has no peer, also where Node reports an end in order.
  socket.once('end', () => (isReset = socket.remoteAddress === undefined));
  await new Promise((resolve) => socket.once('close', resolve));
  server.close();
  return {text, isReset, calls};
}

describe('the answer of a plain service without a length', () => {
  // Guards against framing for a body that may have been cut.
  it('goes to its caller without framing', async () => {
    const {text, isReset} = await sendCall(createAnswer(false, false));
    assert.ok(text.endsWith('\r\n\r\npart'), text);
    assert.ok(!/content-length|transfer-encoding/iu.test(text));
    assert.equal(isReset, false);
  });

  // Guards against a cut body that ends as a complete one does.
  it('is reset when it is cut', async () => {
    const {text, isReset} = await sendCall(createAnswer(false, true));
    assert.ok(text.startsWith('HTTP/1.1 200 OK'), text);
    assert.equal(isReset, true);
  });
});

describe('the framed answer of a plain service', () => {
  it('lacks its last chunk when it is cut', async () => {
    const {text} = await sendCall(createAnswer(true, true));
    assert.ok(text.includes('part'), text);
    assert.ok(!text.includes('\r\n0\r\n'));
  });
});

const LISTED = 'X-Irisdock-Repeatable, X-Request-Id, Content-Type, X-Own';

// Guards against headers that outlive the connection that they concern, and
// against promised ones that a Connection header takes away.
describe('a call of a plain service with a Connection header', () => {
  it('reaches its endpoint without the headers of the connection', async () => {
    const lines = [
      `Connection: close, ${LISTED}`,
      'Proxy-Connection: keep-alive',
      'X-Irisdock-Repeatable: true',
      'X-Request-Id: one',
      'Content-Type: text/plain',
      'X-Own: of the connection',
      'X-Other: kept',
      '',
    ];
    const answer = createAnswer(true, false);
    const {calls} = await sendCall(answer, lines.join('\r\n'));
    assert.deepEqual(calls[0]?.headers, {
      'x-irisdock-repeatable': 'true',
      'x-request-id': 'one',
      'content-type': 'text/plain',
      'x-other': 'kept',
    });
  });

  it('is answered without the headers of the connection', async () => {
    const answer = createAnswer(true, false, {
      connection: 'X-Own, Content-Type, Retry-After',
      'proxy-connection': 'keep-alive',
      'content-type': 'text/plain',
      'retry-after': '1',
      'x-own': 'of the connection',
      'x-other': 'kept',
    });
    const {text} = await sendCall(answer);
    assert.match(text, /\r\ncontent-type: text\/plain\r\n/u);
    assert.match(text, /\r\nretry-after: 1\r\n/u);
    assert.match(text, /\r\nx-other: kept\r\n/u);
    assert.doesNotMatch(text, /x-own|proxy-connection/u);
  });
});
