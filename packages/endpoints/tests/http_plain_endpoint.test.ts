/** Answers of plain endpoints that are cut. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {HttpPlainEndpoint} from '@irisdock/endpoints';

/** In this time, bytes after an answer arrive, in ms. */
const PAUSE_MS = 20;
const HEAD = 'HTTP/1.1 200 OK\r\n';

/** Sends a call; gives the body, or undefined if it is cut. */
async function readBody(
  answer: string,
  handleSent: (socket: Socket) => void,
): Promise<string | undefined> {
  const [body] = await readBodies(1, (socket) => {
    socket.write(answer, () => {
      handleSent(socket);
    });
  });
  return body;
}

/** Sends calls one after the other; a body that is cut is undefined. */
async function readBodies(
  count: number,
  handleCall: (socket: Socket, index: number) => void,
): Promise<readonly (string | undefined)[]> {
  let calls = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      handleCall(socket, calls++);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const endpoint = new HttpPlainEndpoint(`127.0.0.1:${port}`);
  const bodies: (string | undefined)[] = [];
  try {
    for (let call = 0; call < count; call++) {
      bodies.push(await sendCall(endpoint));
      await pause(PAUSE_MS);
    }
  } finally {
    await endpoint.close();
    server.close();
  }
  return bodies;
}

async function sendCall(
  endpoint: HttpPlainEndpoint,
): Promise<string | undefined> {
  const sent = await endpoint.send({
    method: 'GET',
    path: '/',
    headers: {},
    body: Buffer.alloc(0),
    timeoutMs: 3000,
  });
  if (sent.isErr()) return undefined;
  return readText(sent.value.body).catch(() => undefined);
}

const close = (socket: Socket): void => {
  socket.end();
};
const reset = (socket: Socket): void => {
  socket.resetAndDestroy();
};
const resetLate = (socket: Socket): void => {
  setTimeout(() => socket.resetAndDestroy(), 20);
};

describe('the answer of a plain endpoint', () => {
  const cut: readonly (readonly [string, string, (socket: Socket) => void])[] =
    [
      ['within its head', HEAD, close],
      ['within its length', `${HEAD}Content-Length: 9\r\n\r\npart`, close],
      [
        'within a chunk',
        `${HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\npart`,
        close,
      ],
      ['by a reset', `${HEAD}X: y\r\n\r\npart`, reset],
      ['by a late reset', `${HEAD}X: y\r\n\r\npart`, resetLate],
    ];
  for (const [what, answer, handleSent] of cut) {
    // Guards against truncated answers that end as complete ones do.
    it(`of a daemon fails when it is cut ${what}`, async () => {
      assert.equal(await readBody(answer, handleSent), undefined);
    });
  }

  // Guards against a call that never ends, not even at its time limit.
  it('of a daemon fails when it switches protocols', async () => {
    const head = 'HTTP/1.1 101 Switching Protocols\r\n';
    const answer = `${head}Connection: Upgrade\r\nUpgrade: x\r\n\r\n`;
    assert.equal(await readBody(answer, () => undefined), undefined);
  });

  it('of a daemon ends with its connection if it has no length', async () => {
    assert.equal(await readBody(`${HEAD}X: y\r\n\r\nwhole`, close), 'whole');
  });

  // Guards against a late extra answer that is taken for the next one.
  it('of a daemon is not one that followed an earlier answer', async () => {
    const bodies = await readBodies(4, (socket, index) => {
      const text = `${HEAD}Content-Length: 1\r\n\r\n`;
      socket.write(`${text}${index}`);
      setTimeout(() => socket.write(`${text}x`), 1);
    });
    assert.deepEqual(bodies, ['0', '1', '2', '3']);
  });
});
