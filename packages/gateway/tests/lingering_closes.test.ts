/**
 * Bounds of the connections that linger after a refusal, so that callers that
 * go on sending can't hold a host.
 */
import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {connect, Socket, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {RoarrLogger, SystemClock} from '@irisdock/kernel';
import {Counter, Registry} from 'prom-client';
import {
  LINGER_BOUNDS,
  LingeringCloses,
  type LingerBounds,
} from '../src/channels/lingering_closes.js';

const REFUSAL = 'no';
const UNPARSED_REFUSAL = `HTTP/1.1 400 Text\r\n\r\n${REFUSAL}`;
const PART_MS = 5;
const MAX_WAIT_MS = 5000;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** A server that refuses each request as soon as its head has arrived. */
class RefusingServer {
  readonly closes: LingeringCloses;
  readonly counter: Counter;
  private readonly server: Server;

  constructor(bounds: Partial<LingerBounds>) {
    const registers = [new Registry()];
    const labelNames = ['reason'];
    const options = {name: 'closes', help: 'Closes.', labelNames, registers};
    this.counter = new Counter(options);
    this.closes = new LingeringCloses({
      bounds: {...LINGER_BOUNDS, ...bounds},
      clock: new SystemClock(),
      log: new RoarrLogger('test', 'off'),
      closes: this.counter,
    });
    this.server = createServer((message, response) => {
      message.on('error', () => undefined);
      response.writeHead(404, {
        'Content-Length': REFUSAL.length,
        Connection: 'close',
      });
      this.closes.end(message, response, Buffer.from(REFUSAL));
    });
    this.server.on('clientError', (_, socket) => {
      if (!(socket instanceof Socket) || this.closes.has(socket)) return;
      this.closes.endUnparsed(socket, Buffer.from(UNPARSED_REFUSAL));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Opens a connection and sends a head whose body is to follow. */
  async open(method = 'POST'): Promise<Caller> {
    return this.openWith(
      `${method} / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n`,
    );
  }

  /** Opens a connection and sends bytes, to which there is an answer. */
  async openWith(text: string): Promise<Caller> {
    const {port} = this.server.address() as AddressInfo;
    const socket = connect({host: '127.0.0.1', port, allowHalfOpen: true});
    const caller = new Caller(socket);
    socket.write(text);
    await waitUntil(() => caller.text.includes('\r\n\r\n'));
    return caller;
  }

  async getCounts(): Promise<Record<string, number>> {
    const {values} = await this.counter.get();
    const rows = values.map(
      ({labels, value}) => [String(labels['reason']), value] as const,
    );
    return Object.fromEntries(rows);
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** A caller that reads at once and stays until it is closed. */
class Caller {
  text = '';
  isClosed = false;

  constructor(readonly socket: Socket) {
    socket.on('data', (part) => (this.text += String(part)));
    socket.on('error', () => undefined);
    socket.on('close', () => (this.isClosed = true));
  }

  /** Sends parts until the connection is closed. */
  async sendParts(size: number): Promise<void> {
    const part = Buffer.alloc(size, 'x');
    while (!this.isClosed) {
      this.socket.write(part);
      await pause(PART_MS);
    }
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const startedAt = performance.now();
  while (!condition()) {
    assert.ok(performance.now() - startedAt < MAX_WAIT_MS, 'timed out');
    await pause(PART_MS);
  }
}

async function runWithServer(
  bounds: Partial<LingerBounds>,
  body: (server: RefusingServer) => Promise<void>,
): Promise<void> {
  const server = new RefusingServer(bounds);
  await server.start();
  try {
    await body(server);
  } finally {
    server.stop();
  }
}

describe('a connection that lingers after a refusal', () => {
  it('is closed when its caller sends without end', async () => {
    await runWithServer({maxBytes: 1_000_000}, async (server) => {
      const caller = await server.open();
      await caller.sendParts(100_000);
      assert.ok(caller.text.endsWith(REFUSAL));
      assert.deepEqual(await server.getCounts(), {bytes: 1});
      assert.equal(server.closes.size, 0);
    });
  });

  it('is closed when its caller sends slowly', async () => {
    await runWithServer({maxMs: 100}, async (server) => {
      const caller = await server.open();
      await caller.sendParts(1);
      assert.ok(caller.text.endsWith(REFUSAL));
      assert.deepEqual(await server.getCounts(), {time: 1});
      assert.equal(server.closes.size, 0);
    });
  });

  it('is closed as the oldest when there are too many', async () => {
    await runWithServer({maxConnections: 2}, async (server) => {
      const callers: Caller[] = [];
      for (let count = 0; count < 4; count++) callers.push(await server.open());
      assert.equal(server.closes.size, 2);
      assert.deepEqual(await server.getCounts(), {count: 2});
      const [first, second, ...others] = callers;
      for (const caller of [first, second]) await caller?.sendParts(1);
      for (const {isClosed} of others) assert.equal(isClosed, false);
      for (const caller of callers) caller.socket.destroy();
    });
  });

  it('is forgotten when its caller closes it', async () => {
    await runWithServer({}, async (server) => {
      const caller = await server.open();
      assert.equal(server.closes.size, 1);
      caller.socket.destroy();
      await waitUntil(() => server.closes.size === 0);
      assert.deepEqual(await server.getCounts(), {caller: 1});
    });
  });

  it('carries the head of a refusal that has no body', async () => {
    await runWithServer({}, async (server) => {
      const caller = await server.open('HEAD');
      assert.ok(caller.text.startsWith('HTTP/1.1 404'));
      assert.ok(caller.text.endsWith('\r\n\r\n'));
      caller.socket.destroy();
    });
  });

  const bounds: readonly [Partial<LingerBounds>, number, string][] = [
    [{maxBytes: 1_000_000}, 100_000, 'bytes'],
    [{maxMs: 100}, 1, 'time'],
  ];
  for (const [bound, size, reason] of bounds) {
    it(`is closed for its ${reason} when nothing on it can be parsed`, async () => {
      await runWithServer(bound, async (server) => {
        const caller = await server.openWith('neither method nor path\r\n\r\n');
        await caller.sendParts(size);
        assert.ok(caller.text.endsWith(REFUSAL));
        assert.deepEqual(await server.getCounts(), {[reason]: 1});
        assert.equal(server.closes.size, 0);
      });
    });
  }
});
