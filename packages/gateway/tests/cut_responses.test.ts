/**
 * Responses of endpoints whose connection ends at any byte. What the client
 * takes for complete has to be what the endpoint meant to send.
 */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {JsonClient} from '../src/channels/json_client.js';
import {createClient} from './fixtures/endpoint_clients.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {SendPermit} from '../src/serving/send_gate.js';

const BODY = '{"rows":[1,2,3]}';
const HEAD = 'HTTP/1.1 200 OK\r\n';
/** How many requests are under way at once. */
const WINDOW = 24;
/** The delays between the last byte and the end of the connection, in ms. */
const DELAYS_MS = [0, 1, 20];
const TIMEOUT_MS = 3000;

type Ending = 'end' | 'reset';

/** What one endpoint sends, and how its connection ends. */
interface Play {
  readonly text: string;
  readonly ending: Ending;
  /** Undefined to end in the turn in which the bytes have left. */
  readonly delayMs: number | undefined;
  readonly method?: string;
}

/** A body in chunks, with an extension and trailers. */
const CHUNKED =
  `5;x=1\r\n${BODY.slice(0, 5)}\r\n` +
  `${(BODY.length - 5).toString(16)}\r\n${BODY.slice(5)}\r\n` +
  '0\r\nX-Trailer: end\r\n\r\n';

const TEXTS = {
  length: `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  chunked: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${CHUNKED}`,
  none: `${HEAD}X: y\r\n\r\n${BODY}`,
  interim: `HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n${HEAD}X: y\r\n\r\n${BODY}`,
  coded: `${HEAD}Transfer-Encoding: other\r\n\r\n${BODY}`,
} as const;

type Framing = keyof typeof TEXTS;

/** Sends the text and ends the connection. */
function runPlay(socket: Socket, {text, ending, delayMs}: Play): void {
  const end = (): void => {
    if (ending === 'end') socket.end();
    else socket.resetAndDestroy();
  };
  socket.write(text, () => {
    if (delayMs === undefined) end();
    else setTimeout(end, delayMs);
  });
}

/** Runs a test body with the address of an endpoint that plays plays. */
async function runWithPlays(
  findPlay: (index: number) => Play,
  body: (address: string) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', (request) => {
      const index = Number(/^\w+ \/(\d+) /u.exec(request.toString())?.[1]);
      runPlay(socket, findPlay(index));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await body(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

/** Sends requests to the endpoint; undefined for a body that is incomplete. */
async function readBodies(
  plays: readonly Play[],
): Promise<readonly (string | undefined)[]> {
  const bodies = new Array<string | undefined>(plays.length);
  const client = createClient();
  const findPlay = (index: number): Play => {
    const play = plays[index];
    assert.ok(play !== undefined);
    return play;
  };
  await runWithPlays(findPlay, async (address) => {
    let next = 0;
    const send = async (): Promise<void> => {
      while (next < plays.length) {
        const index = next++;
        const response = await client.send({
          permit: new SendPermit(createEndpoint(address)),
          requestId: undefined,
          method: findPlay(index).method ?? 'GET',
          path: `/${index}`,
          lines: [['Host', address]],
          body: Buffer.alloc(0),
          signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        if (response.kind === 'lost') continue;
        const body = await response.readBody();
        if (body.isOk()) bodies[index] = body.value.toString();
      }
    };
    await Promise.all(Array.from({length: WINDOW}, send));
  });
  client.close();
  return bodies;
}

/** Says where the whole answer of a framing ends in its text. */
function isWhole(framing: Framing, {text, ending}: Play): boolean {
  if (text !== TEXTS[framing]) return false;
  return framing === 'length' || framing === 'chunked' || ending === 'end';
}

/** Lists the cuts of a text at each byte, with seeded delays. */
function listPlays(framing: Framing): Play[] {
  const random = new SeededRandom(71);
  const plays: Play[] = [];
  const text = TEXTS[framing];
  for (let cut = 1; cut <= text.length; cut++) {
    for (const ending of ['end', 'reset'] as const) {
      const delayMs = DELAYS_MS[random.getInt(DELAYS_MS.length)];
      plays.push({text: text.slice(0, cut), ending, delayMs});
      plays.push({text: text.slice(0, cut), ending, delayMs: undefined});
    }
  }
  return plays;
}

describe('a response that is cut', () => {
  for (const framing of Object.keys(TEXTS) as Framing[]) {
    // Guards against truncated bodies that are passed on as complete.
    it(`at any byte is not complete (${framing})`, async () => {
      const plays = listPlays(framing);
      const bodies = await readBodies(plays);
      for (const [index, play] of plays.entries()) {
        const body = bodies[index];
        const name = JSON.stringify(play);
        if (isWhole(framing, play)) assert.equal(body, BODY, name);
        else if (!isLegalPrefix(framing, play)) {
          assert.equal(body, undefined, name);
        }
      }
    });
  }

  // Guards against resets that the operating system delivers with the last
  // bytes, which Node reports as an end in order.
  it('by a reset without a length is not complete', async () => {
    const plays: Play[] = [];
    for (const text of [`${HEAD}X: y\r\n\r\n`, TEXTS.none]) {
      for (const delayMs of [undefined, ...DELAYS_MS]) {
        for (let round = 0; round < 10; round++) {
          plays.push({text, ending: 'reset', delayMs});
        }
      }
    }
    const bodies = await readBodies(plays);
    const taken = plays.filter((_, index) => bodies[index] !== undefined);
    assert.deepEqual(taken, []);
  });
});

/** An unframed body that ends in order may be any prefix of what was meant. */
function isLegalPrefix(framing: Framing, {text, ending}: Play): boolean {
  if (framing === 'length' || framing === 'chunked') return false;
  return ending === 'end' && text.includes('\r\n\r\n', text.indexOf(HEAD));
}

describe('a response without a body', () => {
  const heads: readonly (readonly [string, Play])[] = [
    ['204', {text: 'HTTP/1.1 204 None\r\n\r\n', ...createReset()}],
    ['304', {text: 'HTTP/1.1 304 Same\r\n\r\n', ...createReset()}],
    ['HEAD', {text: `${HEAD}X: y\r\n\r\n`, ...createReset(), method: 'HEAD'}],
  ];
  for (const [what, play] of heads) {
    // Guards against answers that end with their head and are taken for cut.
    it(`is complete once its head is (${what})`, async () => {
      assert.deepEqual(await readBodies([play, play]), ['', '']);
    });
  }
});

function createReset(): Pick<Play, 'delayMs' | 'ending'> {
  return {ending: 'reset', delayMs: undefined};
}

describe('a JSON call', () => {
  // Guards against a store or host whose cut answer reads as an empty one.
  it('fails when its unframed answer is reset', async () => {
    const play: Play = {text: TEXTS.none, ...createReset()};
    const client = new JsonClient();
    await runWithPlays(
      () => play,
      async (address) => {
        const call = {
          method: 'GET',
          path: '/0',
          timeoutMs: TIMEOUT_MS,
        } as const;
        const result = await client.send(address, call);
        assert.equal(result.isErr() && result.error, 'its body was cut');
      },
    );
    client.close();
  });
});
