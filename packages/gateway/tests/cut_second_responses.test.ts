/**
 * Second responses on a kept connection that end at any byte, after a first one
 * that was whole. What was read of the first must not complete the second.
 */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {createClient} from './fixtures/endpoint_clients.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {SendPermit} from '../src/serving/send_gate.js';

const FIRST_BODY = 'the first body';
const BODY = '{"rows":[4,5,6]}';
const HEAD = 'HTTP/1.1 200 OK\r\n';
const WINDOW = 16;
const TIMEOUT_MS = 3000;

const FIRST_TEXTS = {
  length: `${HEAD}Content-Length: ${FIRST_BODY.length}\r\n\r\n${FIRST_BODY}`,
  chunked: `${HEAD}Transfer-Encoding: chunked\r\n\r\ne\r\n${FIRST_BODY}\r\n0\r\n\r\n`,
} as const;
const SECOND_TEXTS = {
  length: `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  chunked: `${HEAD}Transfer-Encoding: chunked\r\n\r\n10\r\n${BODY}\r\n0\r\n\r\n`,
  none: `${HEAD}X: y\r\n\r\n${BODY}`,
  hints: `HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n${HEAD}Content-Length: 16\r\n\r\n${BODY}`,
  continue: `HTTP/1.1 100 Continue\r\n\r\n${HEAD}X: y\r\n\r\n${BODY}`,
} as const;
/** What follows the first response without being one. */
const LEFTOVERS = ['', '\r\n', 'x', HEAD];

type Framing = keyof typeof SECOND_TEXTS;
type Ending = 'end' | 'reset';

/** Two responses on one connection, which ends with the second. */
interface Pair {
  readonly first: string;
  readonly second: string;
  readonly ending: Ending;
  readonly delayMs: number | undefined;
}

/** What the client made of a pair. */
interface PairResult {
  readonly firstBody: string | undefined;
  readonly secondBody: string | undefined;
  /** Whether both requests came on the same connection. */
  isKept: boolean;
}

function endSocket(socket: Socket, {ending, delayMs}: Pair): void {
  const end = (): void => {
    if (ending === 'end') socket.end();
    else socket.resetAndDestroy();
  };
  if (delayMs === undefined) end();
  else setTimeout(end, delayMs);
}

/** Plays pairs; a request's path names its pair and its turn. */
async function runPairs(pairs: readonly Pair[]): Promise<PairResult[]> {
  const results: PairResult[] = [];
  const sockets = new Set<Socket>();
  const seen = new Map<number, Socket>();
  const kept = new Set<number>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (request) => {
      const [, index, turn] =
        /^\w+ \/(\d+)\/(\d) /u.exec(request.toString()) ?? [];
      const pair = pairs[Number(index)];
      if (pair === undefined) return;
      if (turn === '1') {
        seen.set(Number(index), socket);
        socket.write(pair.first);
        return;
      }
      if (seen.get(Number(index)) === socket) kept.add(Number(index));
      socket.write(pair.second, () => {
        endSocket(socket, pair);
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  let next = 0;
  const play = async (): Promise<void> => {
    const client = createClient();
    const read = async (path: string): Promise<string | undefined> => {
      const response = await client.send({
        permit: new SendPermit(createEndpoint(address)),
        requestId: undefined,
        method: 'GET',
        path,
        lines: [['Host', address]],
        body: Buffer.alloc(0),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      if (response.kind === 'lost') return undefined;
      const body = await response.readBody();
      return body.isOk() ? body.value.toString() : undefined;
    };
    while (next < pairs.length) {
      const index = next++;
      const firstBody = await read(`/${index}/1`);
      // The connection returns to the pool with the end of the body.
      await new Promise((resolve) => setTimeout(resolve, 2));
      const secondBody = await read(`/${index}/2`);
      results[index] = {firstBody, secondBody, isKept: kept.has(index)};
    }
    client.close();
  };
  try {
    await Promise.all(Array.from({length: WINDOW}, play));
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
  return results;
}

/** Lists cuts of the second response at each byte. */
function listPairs(framing: Framing, leftover: string): Pair[] {
  const pairs: Pair[] = [];
  const text = SECOND_TEXTS[framing];
  for (let cut = 0; cut <= text.length; cut++) {
    for (const ending of ['end', 'reset'] as const) {
      const first = cut % 2 === 0 ? FIRST_TEXTS.length : FIRST_TEXTS.chunked;
      const delayMs = cut % 3 === 0 ? undefined : (cut % 3) - 1;
      const second = text.slice(0, cut);
      pairs.push({first: first + leftover, second, ending, delayMs});
    }
  }
  return pairs;
}

/**
 * Gives the body of a whole response. One without framing is whole where its
 * connection ends in order, as nothing else tells its end.
 */
function findWholeBody(
  framing: Framing,
  {second, ending}: Pair,
): string | undefined {
  const isUnframed = framing === 'none' || framing === 'continue';
  if (!isUnframed) return second === SECOND_TEXTS[framing] ? BODY : undefined;
  const [, body] = second.split('X: y\r\n\r\n');
  return ending === 'end' ? body : undefined;
}

describe('a second response on a kept connection', () => {
  for (const framing of Object.keys(SECOND_TEXTS) as Framing[]) {
    for (const leftover of LEFTOVERS) {
      const name = JSON.stringify(leftover);
      it(`is complete only if it is whole, ${framing}, after ${name}`, async () => {
        const pairs = listPairs(framing, leftover);
        const results = await runPairs(pairs);
        let keptCount = 0;
        for (const [index, pair] of pairs.entries()) {
          const result = results[index];
          assert.ok(result);
          if (result.isKept) keptCount++;
          const {firstBody, secondBody} = result;
          assert.ok([undefined, FIRST_BODY].includes(firstBody));
          if (secondBody === undefined) continue;
          const whole = findWholeBody(framing, pair);
          assert.equal(secondBody, whole, JSON.stringify(pair));
        }
        if (leftover === '') assert.ok(keptCount > pairs.length / 2);
      });
    }
  }
});
