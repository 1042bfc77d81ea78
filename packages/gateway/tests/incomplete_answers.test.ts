/** Answers that a host breaks off, as their callers see them. */
import assert from 'node:assert/strict';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {RoarrLogger, SystemClock} from '@irisdock/kernel';
import {Counter, Registry} from 'prom-client';
import {CallerConnections} from '../src/channels/caller_connections.js';
import {
  LINGER_BOUNDS,
  LingeringCloses,
} from '../src/channels/lingering_closes.js';
import {UNREAD_BOUNDS, UnreadAnswers} from '../src/channels/unread_answers.js';
import {CallerExchange} from '../src/serving/caller_exchange.js';

/** More than the kernel's buffers of both ends take. */
const BODY = Buffer.alloc(16_000_000, 'a');
const MAX_STALL_MS = 200;
const log = new RoarrLogger('test', 'off');

/** A front whose answers are broken off. */
interface Front {
  readonly connections: CallerConnections;
  readonly unread: UnreadAnswers;
}

type Serve = (exchange: CallerExchange, front: Front) => void;

function createFront(server: ReturnType<typeof createServer>): Front {
  const registers = [new Registry()];
  const closes = new Counter({
    name: 'closes',
    help: 'Closes.',
    labelNames: ['reason'],
    registers,
  });
  const bounds = {...UNREAD_BOUNDS, maxStallMs: MAX_STALL_MS};
  const limits = {headerTimeoutMs: 10_000, idleTimeoutMs: 10_000};
  const refuse = (): void => undefined;
  return {
    connections: new CallerConnections(server, limits, log, refuse),
    unread: new UnreadAnswers({bounds, log, closes}),
  };
}

function createExchange(
  message: IncomingMessage,
  response: ServerResponse,
  {unread}: Front,
): CallerExchange {
  const registers = [new Registry()];
  const options = {name: 'closes', help: 'Closes.', labelNames: ['reason']};
  const lingering = new LingeringCloses({
    bounds: LINGER_BOUNDS,
    clock: new SystemClock(),
    log,
    closes: new Counter({...options, registers}),
  });
  return new CallerExchange(message, response, 0, lingering, unread);
}

/** What a caller sees of an answer that it reads after a pause. */
interface SeenAnswer {
  readonly text: string;
  readonly isReset: boolean;
}

/** Sends a request and reads its answer once the host has closed it. */
async function readAnswer(
  version: '1.0' | '1.1',
  serve: Serve,
): Promise<SeenAnswer> {
  const server = createServer();
  const front = createFront(server);
  const closed = new Promise<void>((resolve) => {
    server.on('request', (message, response) => {
      response.once('close', resolve);
      front.connections.accept(message, response, () => {
        serve(createExchange(message, response, front), front);
        return undefined;
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.pause();
  socket.write(`GET / HTTP/${version}\r\nHost: x\r\n\r\n`);
  await closed;
  let text = '';
  let isReset = false;
  socket.on('data', (part) => (text += part.toString('latin1')));
  socket.on('error', () => (isReset = true));
  // A reset socket has no peer, also where Node reports an end in order.
  socket.once('end', () => (isReset = socket.remoteAddress === undefined));
  await new Promise((resolve) => socket.once('close', resolve).resume());
  server.closeAllConnections();
  server.close();
  return {text, isReset};
}

const sendUnframed = (exchange: CallerExchange): void => {
  exchange.sendAnswer({status: 200, lines: [], body: BODY, isFramed: false});
};

describe('an answer that ends with its connection and is broken off', () => {
  const breaks: readonly (readonly [string, '1.0' | '1.1', Serve])[] = [
    [
      'as its caller does not read',
      '1.1',
      (exchange) => {
        exchange.setTimeLimit(1);
        sendUnframed(exchange);
      },
    ],
    [
      'as its host stops',
      '1.1',
      (exchange, {connections}) => {
        sendUnframed(exchange);
        setImmediate(() => {
          connections.closeAll();
        });
      },
    ],
    [
      'as its stream to a caller of HTTP/1.0 has failed',
      '1.0',
      (exchange) => {
        exchange.startStream(200, []);
        exchange.writeStream(Buffer.from('data: 1\n\n'));
        setImmediate(() => {
          exchange.failStream();
        });
      },
    ],
  ];
  for (const [what, version, serve] of breaks) {
    // Guards against truncated answers that end as complete ones do.
    it(`is reset (${what})`, async () => {
      const {text, isReset} = await readAnswer(version, serve);
      assert.ok(text.startsWith('HTTP/1.1 200 OK\r\n'));
      assert.ok(!/content-length|chunked/iu.test(text.slice(0, 500)));
      assert.ok(text.length < BODY.length);
      assert.equal(isReset, true);
    });
  }

  // Guards against callers that lose the last events of a stream to a reset.
  it('keeps what was written if it is chunked', async () => {
    const {text, isReset} = await readAnswer('1.1', (exchange) => {
      exchange.startStream(200, []);
      exchange.writeStream(Buffer.from('data: 1\n\n'));
      setImmediate(() => {
        exchange.failStream();
      });
    });
    assert.ok(text.includes('data: 1\n\n'));
    assert.ok(!text.includes('\r\n0\r\n'));
    assert.equal(isReset, false);
  });
});
