/**
 * Requests of each HTTP client to processes that answer with any bytes and end
 * the connection at any time, or never. Each request must settle: by a response,
 * by a failure, or at its time limit.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import fc from 'fast-check';
import {JsonClient} from '../src/channels/json_client.js';
import {SendPermit} from '../src/serving/send_gate.js';
import {createClient} from './fixtures/endpoint_clients.js';
import {createEndpoint} from './fixtures/endpoints.js';

/** The time limit of each request, in ms. */
const TIMEOUT_MS = 150;
/** A request that has not settled by then never does, in ms. */
const NEVER_MS = 5000;
/** Requests under way at once. */
const BATCH = 40;
const SEED = 81;
const RUNS = 8;

type Ending = 'end' | 'keep' | 'reset';

/** The bytes that one connection brings, and how it ends. */
interface Answer {
  readonly parts: readonly string[];
  readonly ending: Ending;
}

const UPGRADE = 'Connection: Upgrade\r\nUpgrade: x\r\n';
const HEADS = [
  `HTTP/1.1 101 Switching Protocols\r\n${UPGRADE}\r\n`,
  'HTTP/1.1 101 Switching Protocols\r\n\r\n',
  `HTTP/1.1 200 OK\r\n${UPGRADE}\r\n`,
  `HTTP/1.1 426 Upgrade Required\r\n${UPGRADE}Content-Length: 0\r\n\r\n`,
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}',
  'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n',
  'HTTP/1.1 204 No Content\r\n\r\n',
  'HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n',
  'HTTP/1.1 000 None\r\n\r\n',
  'HTTP/1.1 200',
  '\r\n',
  '0\r\n\r\n',
  'noise\u0000',
] as const;

const answers: fc.Arbitrary<readonly Answer[]> = fc.array(
  fc.record({
    parts: fc.array(fc.constantFrom(...HEADS), {maxLength: 3}),
    ending: fc.constantFrom<Ending>('end', 'keep', 'reset'),
  }),
  {minLength: BATCH, maxLength: BATCH},
);

async function sendAnswer(
  socket: Socket,
  {parts, ending}: Answer,
): Promise<void> {
  for (const part of parts) {
    socket.write(part, 'latin1');
    await pause(1);
  }
  if (ending === 'end') socket.end();
  if (ending === 'reset') socket.resetAndDestroy();
}

/** Runs a body with the address of a process that plays answers by path. */
async function runWithAnswers(
  list: readonly Answer[],
  body: (address: string) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const index = Number(/^\w+ \/(\d+) /u.exec(bytes.toString())?.[1]);
      const answer = list[index];
      assert.ok(answer);
      void sendAnswer(socket, answer);
    });
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  try {
    await body(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

/** Checks that each request settles, whatever it settles with. */
async function checkSettled(
  list: readonly Answer[],
  sent: readonly Promise<unknown>[],
): Promise<void> {
  const controller = new AbortController();
  const {signal} = controller;
  const never = pause(NEVER_MS, 'never', {signal}).catch(() => undefined);
  const ends = sent.map((request) =>
    Promise.race([request.then(() => 'settled'), never]),
  );
  for (const [index, end] of (await Promise.all(ends)).entries()) {
    assert.equal(end, 'settled', JSON.stringify(list[index]));
  }
  controller.abort();
}

// Guards against a request that stays open for good after its connection ended.
describe('a request', () => {
  const options = {numRuns: RUNS, seed: SEED, endOnFailure: true};

  it('to an endpoint settles whatever the connection does', async () => {
    const check = async (list: readonly Answer[]): Promise<void> => {
      const client = createClient();
      await runWithAnswers(list, async (address) => {
        const sent = list.map(async (_, index) => {
          const answer = await client.send({
            permit: new SendPermit(createEndpoint(address)),
            requestId: undefined,
            method: 'POST',
            path: `/${index}`,
            lines: [],
            body: Buffer.alloc(0),
            signal: AbortSignal.timeout(TIMEOUT_MS),
          });
          return answer.kind === 'lost' ? answer : answer.readBody();
        });
        await checkSettled(list, sent);
      });
      client.close();
    };
    await fc.assert(fc.asyncProperty(answers, check), options);
  });

  it('for JSON settles whatever the connection does', async () => {
    const check = async (list: readonly Answer[]): Promise<void> => {
      const client = new JsonClient();
      await runWithAnswers(list, async (address) => {
        const sent = list.map(async (_, index) =>
          client.send(address, {
            method: 'GET',
            path: `/${index}`,
            timeoutMs: TIMEOUT_MS,
          }),
        );
        await checkSettled(list, sent);
      });
      client.close();
    };
    await fc.assert(fc.asyncProperty(answers, check), options);
  });

  it('fails with its cause when the response switches protocols', async () => {
    const list: Answer[] = [{parts: [HEADS[0]], ending: 'keep'}];
    const client = new JsonClient();
    await runWithAnswers(list, async (address) => {
      const call = {method: 'GET', path: '/0', timeoutMs: NEVER_MS} as const;
      const answer = await client.send(address, call);
      const detail = 'the connection was closed without a response';
      assert.equal(answer._unsafeUnwrapErr(), detail);
    });
    client.close();
  });
});
