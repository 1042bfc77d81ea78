/** Short JSON calls to processes that send bytes without end. */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {JsonClient} from '../src/channels/json_client.js';

const MIB = 1024 * 1024;
/** A flood that nobody stops ends after so many bytes. */
const MAX_FLOOD_BYTES = 64 * MIB;
/**
 * The longest body that is read, and what the kernel buffers of a connection
 * at most (the defaults of Linux).
 */
const MAX_SENT_BYTES = (8 + 11) * MIB;
/** Longer than any flood takes, in ms. */
const TIMEOUT_MS = 10_000;
const HEAD = 'HTTP/1.1 200 OK\r\n';
const PART = 'a'.repeat(65_536);

const FLOODS: readonly (readonly [string, string, string])[] = [
  ['a body without end', `${HEAD}\r\n`, PART],
  [
    'a chunked body without end',
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    `10000\r\n${PART}\r\n`,
  ],
  ['informational answers without end', '', 'HTTP/1.1 103 Hints\r\n\r\n'],
  ['empty lines without end', '', '\r\n'.repeat(1000)],
];

/** Sends a head and then one part over and over. */
function sendFlood(socket: Socket, head: string, part: string): void {
  const bytes = Buffer.from(part);
  const send = (): void => {
    while (!socket.destroyed && socket.bytesWritten < MAX_FLOOD_BYTES) {
      if (socket.write(bytes)) continue;
      socket.once('drain', send);
      return;
    }
  };
  if (head !== '') socket.write(head);
  send();
}

/** Runs a test body against a server that runs `handle` for each connection. */
async function runWithServer(
  handle: (socket: Socket) => void,
  body: (address: string, sockets: readonly Socket[]) => Promise<void>,
): Promise<void> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      handle(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    const {port} = server.address() as AddressInfo;
    await body(`127.0.0.1:${port}`, sockets);
  } finally {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  }
}

describe('a JSON call', () => {
  for (const [what, head, part] of FLOODS) {
    it(`ends with an error after ${what}`, async () => {
      const client = new JsonClient();
      const handle = (socket: Socket): void => {
        sendFlood(socket, head, part);
      };
      await runWithServer(handle, async (address, sockets) => {
        const answer = await client.send(address, {
          method: 'GET',
          path: '/',
          timeoutMs: TIMEOUT_MS,
        });
        assert.ok(answer.isErr());
        const [socket] = sockets;
        assert.ok(socket !== undefined);
        assert.ok(socket.bytesWritten <= MAX_SENT_BYTES);
      });
      client.close();
    });
  }

  it('says that it timed out when a body does not end in time', async () => {
    const client = new JsonClient();
    const handle = (socket: Socket): void => {
      socket.write(`${HEAD}Content-Length: 10\r\n\r\n{`);
    };
    await runWithServer(handle, async (address) => {
      const call = {method: 'GET', path: '/', timeoutMs: 100} as const;
      const answer = await client.send(address, call);
      assert.equal(answer._unsafeUnwrapErr(), 'no answer in 100 ms');
    });
    client.close();
  });
});
