/** Endpoints whose answers never end. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {
  HttpEngine,
  HttpPlainEndpoint,
  type StreamEvent,
  type StreamOrder,
} from '@irisdock/endpoints';

const KIB = 1024;
/** A flood that nobody stops ends after so many bytes. */
const MAX_FLOOD_BYTES = 256 * KIB * KIB;
/** Far more than a call takes, in ms. */
const PATIENT_MS = 20_000;
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const ORDER: StreamOrder = {
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

function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Runs a body with the address of a server that sends a part without end. */
async function runWithFlood(
  part: string,
  body: (address: string) => Promise<void>,
): Promise<void> {
  let sentBytes = 0;
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(HEAD);
      const send = (): void => {
        while (!socket.destroyed && sentBytes < MAX_FLOOD_BYTES) {
          sentBytes += part.length;
          if (!socket.write(part)) return;
        }
      };
      socket.on('drain', send);
      send();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  try {
    await body(`127.0.0.1:${port}`);
    assert.ok(sentBytes < MAX_FLOOD_BYTES, 'nobody stopped the flood');
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

const STREAMS: readonly (readonly [string, string])[] = [
  ['an event', formatChunk('data: some words\n'.repeat(KIB))],
  ['comments', formatChunk(': nothing\n\n'.repeat(KIB))],
  ['blank lines', formatChunk('\n'.repeat(KIB))],
];

// Guards against a daemon that keeps all that an engine sends, or works on it for
// as long as its caller waits.
describe('an engine whose answer never ends', () => {
  it('is given up when it reports its load', async () => {
    await runWithFlood(formatChunk('a'.repeat(64 * KIB)), async (address) => {
      const engine = new HttpEngine(address);
      const load = await engine.getLoad(PATIENT_MS);
      assert.match(load._unsafeUnwrapErr().message, /longer than/u);
      await engine.close();
    });
  });

  for (const [what, part] of STREAMS) {
    it(`is given up when its stream is ${what} without end`, async () => {
      await runWithFlood(part, async (address) => {
        const engine = new HttpEngine(address);
        const signal = AbortSignal.timeout(PATIENT_MS);
        const opened = await engine.openStream(ORDER, signal);
        const events: StreamEvent[] = [];
        await assert.rejects(async () => {
          for await (const batch of opened._unsafeUnwrap().batches) {
            events.push(...batch);
          }
        }, /no events/u);
        assert.deepEqual(events, []);
        await engine.close();
      });
    });
  }
});

// Guards against a daemon that reads on what can bring its caller nothing.
describe('a plain endpoint whose answer never ends', () => {
  for (const [what, part] of [
    ['a chunk size', '0'.repeat(64 * KIB)],
    ['one-byte chunks', formatChunk('a').repeat(10 * KIB)],
  ] as const) {
    it(`is given up after ${what}`, async () => {
      await runWithFlood(part, async (address) => {
        const endpoint = new HttpPlainEndpoint(address);
        const sent = await endpoint.send({
          method: 'GET',
          path: '/',
          headers: {},
          body: Buffer.alloc(0),
          timeoutMs: PATIENT_MS,
        });
        await assert.rejects(readText(sent._unsafeUnwrap().body));
        await endpoint.close();
      });
    });
  }
});
