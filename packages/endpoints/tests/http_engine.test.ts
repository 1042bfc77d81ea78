/** What an order that got no stream may have done at its engine. */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {HttpEngine, type StreamOrder} from '@irisdock/endpoints';

function createOrder(): StreamOrder {
  return {
    mode: 'start',
    request: 'r',
    generation: 1,
    prompt: 'a prompt',
    received: '',
    offset: 0,
    maxTokens: 5,
    priority: 0,
    model: 'm',
  };
}

/** Starts a server that reads and never answers. */
async function startSilentServer(
  handleData: (text: string) => void,
): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('data', (part) => {
      handleData(part.toString('utf8'));
    });
    socket.on('error', () => undefined);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

describe('an order that got no stream', () => {
  async function openAndAbort(
    when: 'at once' | 'once it arrived',
  ): Promise<{kind: string; arrived: string}> {
    const controller = new AbortController();
    let arrived = '';
    const server = await startSilentServer((text) => {
      arrived += text;
      if (arrived.includes('a prompt')) controller.abort();
    });
    const {port} = server.address() as AddressInfo;
    const engine = new HttpEngine(`127.0.0.1:${port}`);
    const opening = engine.openStream(createOrder(), controller.signal);
    if (when === 'at once') controller.abort();
    const opened = await opening;
    await engine.close();
    const closed = once(server, 'close');
    server.close();
    await closed;
    assert.ok(opened.isErr());
    return {kind: opened.error.kind, arrived};
  }

  it('was not run when it was given up before a byte was taken', async () => {
    const {kind, arrived} = await openAndAbort('at once');
    assert.equal(kind, 'endpoint_unreachable');
    assert.equal(arrived, '');
  });

  it('may have run when it was given up after it arrived', async () => {
    const {kind, arrived} = await openAndAbort('once it arrived');
    assert.equal(kind, 'endpoint_cut');
    assert.match(arrived, /"prompt":"a prompt"/);
  });

  it('was not run when nobody listens', async () => {
    const server = await startSilentServer(() => undefined);
    const {port} = server.address() as AddressInfo;
    server.close();
    await once(server, 'close');
    const engine = new HttpEngine(`127.0.0.1:${port}`);
    const {signal} = new AbortController();
    const opened = await engine.openStream(createOrder(), signal);
    await engine.close();
    assert.ok(opened.isErr());
    assert.equal(opened.error.kind, 'endpoint_unreachable');
  });
});
