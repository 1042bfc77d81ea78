/** Probes that are lost on the way to an endpoint, or back. */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {SystemClock} from '@irisdock/kernel';
import {
  EndpointProber,
  type ProbeAnswer,
} from '../src/serving/endpoint_prober.js';
import {createClient} from './fixtures/endpoint_clients.js';
import {createEndpoint} from './fixtures/endpoints.js';

const TIMEOUT_MS = 400;

type RequestHandler = (socket: Socket) => void;

const answerProbe: RequestHandler = (socket) => {
  socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
};
const resetProbe: RequestHandler = (socket) => {
  socket.resetAndDestroy();
};
const loseProbe: RequestHandler = () => undefined;

/** Probes an endpoint; each handler takes one request, the last all others. */
async function probeEndpoint(
  ...handlers: readonly RequestHandler[]
): Promise<ProbeAnswer> {
  const sockets: Socket[] = [];
  let requests = 0;
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      handlers[Math.min(requests++, handlers.length - 1)]?.(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const client = createClient();
  const prober = new EndpointProber(client, '/report', new SystemClock());
  try {
    const endpoint = createEndpoint(`127.0.0.1:${port}`);
    return await prober.probe(endpoint, TIMEOUT_MS);
  } finally {
    client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

describe('a probe', () => {
  it('is repeated when its connection is reset', async () => {
    assert.equal(await probeEndpoint(resetProbe, answerProbe), 'answers');
  });

  it('is repeated when it is lost', async () => {
    assert.equal(await probeEndpoint(loseProbe, answerProbe), 'answers');
  });

  it('is repeated when its connection is reset and the next one is lost', async () => {
    const answer = await probeEndpoint(resetProbe, loseProbe, answerProbe);
    assert.equal(answer, 'answers');
  });

  it('is silent when none is answered', async () => {
    assert.equal(await probeEndpoint(loseProbe), 'silent');
  });

  it('is silent when all connections are reset', async () => {
    assert.equal(await probeEndpoint(resetProbe), 'silent');
  });
});
