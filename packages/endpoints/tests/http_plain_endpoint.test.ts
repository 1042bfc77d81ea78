/** Answers of plain endpoints that are cut. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {HttpPlainEndpoint} from '@irisdock/endpoints';

const HEAD = 'HTTP/1.1 200 OK\r\n';

/** Sends a call; gives the body, or undefined if it is cut. */
async function readBody(
  answer: string,
  handleSent: (socket: Socket) => void,
): Promise<string | undefined> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(answer, () => {
        handleSent(socket);
      });
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const endpoint = new HttpPlainEndpoint(`127.0.0.1:${port}`);
  try {
    const sent = await endpoint.send({
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      timeoutMs: 3000,
    });
    if (sent.isErr()) return undefined;
    return await readText(sent.value.body).catch(() => undefined);
  } finally {
    await endpoint.close();
    server.close();
  }
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

  it('of a daemon ends with its connection if it has no length', async () => {
    assert.equal(await readBody(`${HEAD}X: y\r\n\r\nwhole`, close), 'whole');
  });
});
