/** Bounds of answers that their callers read slowly or not at all. */
import assert from 'node:assert/strict';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {RoarrLogger} from '@irisdock/kernel';
import {Counter, Registry} from 'prom-client';
import {
  UNREAD_BOUNDS,
  UnreadAnswers,
  type UnreadBounds,
} from '../src/channels/unread_answers.js';

/** More than the kernel's buffers of both ends take. */
const ANSWER_BYTES = 16_000_000;
const BODY = Buffer.alloc(ANSWER_BYTES, 'a');
const POLL_MS = 5;
const MAX_WAIT_MS = 8000;
/** A stall that ends an answer, and one that does not, in ms. */
const MAX_STALL_MS = 3000;
const SHORT_STALL_MS = 200;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** A server whose answers are late: the time of each request is over. */
class LateServer {
  readonly answers: UnreadAnswers;
  private readonly counter: Counter;
  private readonly server: Server;

  constructor(
    bounds: Partial<UnreadBounds>,
    private readonly isTimeOver: boolean,
  ) {
    const registers = [new Registry()];
    const labelNames = ['reason'];
    const options = {name: 'closes', help: 'Closes.', labelNames, registers};
    this.counter = new Counter(options);
    this.answers = new UnreadAnswers({
      bounds: {...UNREAD_BOUNDS, maxStallMs: MAX_STALL_MS, ...bounds},
      log: new RoarrLogger('test', 'off'),
      closes: this.counter,
    });
    this.server = createServer((_, response) => {
      this.sendAnswer(response);
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Opens a connection and sends a request; nothing is read. */
  open(): Caller {
    const {port} = this.server.address() as AddressInfo;
    return new Caller(connect({host: '127.0.0.1', port}));
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

  private sendAnswer(response: ServerResponse): void {
    const answer = this.answers.open(response);
    if (this.isTimeOver) answer.markTimeOver();
    response.writeHead(200, {'Content-Length': ANSWER_BYTES});
    answer.send(BODY);
  }
}

/** A caller that reads when it is told to. */
class Caller {
  bytes = 0;
  isClosed = false;

  constructor(readonly socket: Socket) {
    socket.on('data', (part) => (this.bytes += part.length));
    socket.on('error', () => undefined);
    socket.on('close', () => (this.isClosed = true));
    socket.pause();
    socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
  }

  /** Reads at least this many bytes. */
  async read(bytes: number): Promise<void> {
    const until = this.bytes + bytes;
    this.socket.resume();
    await waitUntil(() => this.bytes >= until || this.isClosed);
    this.socket.pause();
  }
}

async function waitUntil(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const startedAt = performance.now();
  while (!(await condition())) {
    assert.ok(performance.now() - startedAt < MAX_WAIT_MS, 'timed out');
    await pause(POLL_MS);
  }
}

async function runWithServer(
  bounds: Partial<UnreadBounds>,
  isTimeOver: boolean,
  body: (server: LateServer) => Promise<void>,
): Promise<void> {
  const server = new LateServer(bounds, isTimeOver);
  await server.start();
  try {
    await body(server);
  } finally {
    server.stop();
  }
}

describe('an answer that is not read', () => {
  it('is closed when its time is over and nothing is taken', async () => {
    await runWithServer({}, true, async (server) => {
      const caller = server.open();
      await waitUntil(() => server.answers.totalBytes > 0);
      await waitUntil(() => server.answers.totalBytes === 0);
      assert.deepEqual(await server.getCounts(), {time: 1});
      await caller.read(ANSWER_BYTES);
      assert.ok(caller.bytes < ANSWER_BYTES);
    });
  });

  it('goes on while its caller takes some of it', async () => {
    await runWithServer({}, true, async (server) => {
      const caller = server.open();
      while (caller.bytes < ANSWER_BYTES) {
        assert.equal(caller.isClosed, false);
        await pause(SHORT_STALL_MS);
        await caller.read(ANSWER_BYTES / 16);
      }
      assert.deepEqual(await server.getCounts(), {});
      await waitUntil(() => server.answers.totalBytes === 0);
      caller.socket.destroy();
    });
  });

  it('waits for its caller while its time is not over', async () => {
    await runWithServer({maxStallMs: 1}, false, async (server) => {
      const caller = server.open();
      await waitUntil(() => server.answers.totalBytes > 0);
      await pause(SHORT_STALL_MS);
      await caller.read(ANSWER_BYTES);
      assert.deepEqual(await server.getCounts(), {});
      caller.socket.destroy();
    });
  });

  it('is closed when too much waits for all callers', async () => {
    const bounds = {maxBytes: 2 * ANSWER_BYTES};
    await runWithServer(bounds, false, async (server) => {
      const callers = [server.open(), server.open()];
      await waitUntil(() => server.answers.totalBytes === 2 * ANSWER_BYTES);
      callers.push(server.open());
      await waitUntil(async () => (await server.getCounts())['memory'] === 1);
      assert.ok(server.answers.totalBytes <= 2 * ANSWER_BYTES);
      for (const {socket} of callers) socket.destroy();
    });
  });
});
