/** How answers of plain services reach callers of the daemon. */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import type {PlainAnswer} from '@irisdock/endpoints';
import {WebRequest} from '@irisdock/web';
import {ok} from 'neverthrow';
import {PlainRoute, type PlainParts} from '../src/caller/plain_route.js';

/** An answer of which a part has come. */
interface BegunAnswer {
  readonly answer: PlainAnswer;
  /** Ends or cuts the body. */
  readonly finish: () => void;
}

function createAnswer(isFramed: boolean, isCut: boolean): BegunAnswer {
  const body = new PassThrough();
  body.write('part');
  return {
    answer: {status: 200, headers: {}, body, isFramed},
    finish: () => {
      if (isCut) body.destroy(new Error('cut'));
      else body.end();
    },
  };
}

function createRoute(answer: PlainAnswer): PlainRoute {
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
    calls: {serve: () => Promise.resolve(ok(answer))},
  };
  return new PlainRoute(parts as unknown as PlainParts);
}

/** Calls the route; gives what arrived, and whether the end was a reset. */
async function sendCall({
  answer,
  finish,
}: BegunAnswer): Promise<{text: string; isReset: boolean}> {
  const route = createRoute(answer);
  const limits = {maxBytes: 1000, maxMs: 1000};
  const server = createServer((message, response) => {
    const parameters = {service: 'orders', rest: 'x'};
    void route.handle(new WebRequest(message, response, parameters, limits));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const head = 'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n';
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
  return {text, isReset};
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
