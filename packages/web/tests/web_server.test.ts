/** The HTTP base answers bad requests and goes on. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {RoarrLogger, splitPlace} from '@irisdock/kernel';
import {sendError, sendJson, WebServer, type Route} from '@irisdock/web';
import * as z from 'zod';

const ROUTES: readonly Route[] = [
  {
    method: 'POST',
    path: '/echo/:name',
    handle: async (request) => {
      const body = await request.readJson(z.object({n: z.number()}));
      const name = request.getParameter('name');
      if (body.isErr()) sendError(request.response, body.error);
      else sendJson(request.response, 200, {name, n: body.value.n});
    },
  },
  {
    method: 'GET',
    path: '/broken',
    handle: () => {
      throw new Error('a fault');
    },
  },
];

/** Sends raw text over a connection; gives all that comes back. */
async function sendRaw(
  place: string,
  text: string,
  ends = true,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(splitPlace(place));
    let answer = '';
    socket.on('data', (part) => {
      answer += part.toString('utf8');
    });
    socket.on('error', reject);
    socket.on('close', () => {
      resolve(answer);
    });
    socket.write(text);
    if (ends) socket.end();
  });
}

function formatPost(path: string, body: string, length = body.length): string {
  const head = `POST ${path} HTTP/1.1\r\nHost: t\r\nConnection: close`;
  return `${head}\r\nContent-Length: ${length}\r\n\r\n${body}`;
}

describe('WebServer', () => {
  const log = new RoarrLogger('tests', 'off');
  const limits = {maxBytes: 100, maxMs: 300};
  const options = {listen: '127.0.0.1:0', limits};
  const server = new WebServer(options, ROUTES, log);
  let place = '';

  before(async () => {
    place = await server.start();
  });
  after(async () => {
    await server.stop();
  });

  const cases: readonly {
    name: string;
    text: string;
    status: number;
    kind: string;
    ends?: boolean;
  }[] = [
    {
      name: 'a path that is not there',
      text: 'GET /nothing HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n',
      status: 404,
      kind: 'no_such_path',
    },
    {
      name: 'a method that the path does not take',
      text: 'GET /echo/a HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n',
      status: 405,
      kind: 'no_such_method',
    },
    {
      name: 'a body that is no JSON',
      text: formatPost('/echo/a', '{n: 1'),
      status: 400,
      kind: 'bad_json',
    },
    {
      name: 'an empty body',
      text: formatPost('/echo/a', ''),
      status: 400,
      kind: 'bad_json',
    },
    {
      name: 'a field of another type',
      text: formatPost('/echo/a', '{"n": "1"}'),
      status: 400,
      kind: 'bad_field',
    },
    {
      name: 'a body that says it is too large',
      text: formatPost('/echo/a', '{', 5000),
      status: 413,
      kind: 'body_too_large',
      ends: false,
    },
    {
      name: 'a body that turns out too large',
      text:
        'POST /echo/a HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n' +
        `c8\r\n${'x'.repeat(200)}\r\n0\r\n\r\n`,
      status: 413,
      kind: 'body_too_large',
      ends: false,
    },
    {
      name: 'a body that does not come',
      text: formatPost('/echo/a', '{"n"', 50),
      status: 408,
      kind: 'body_too_slow',
      ends: false,
    },
    {
      name: 'a handler that fails',
      text: 'GET /broken HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n',
      status: 500,
      kind: 'internal',
    },
  ];
  for (const {name, text, status, kind, ends} of cases) {
    it(`answers ${name} with ${kind}`, async () => {
      const answer = await sendRaw(place, text, ends ?? true);
      assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
      assert.match(answer, new RegExp(`"kind":"${kind}"`));
      assert.match(answer, /"remedy":"[^"]+"/);
      assert.match(answer, /x-irisdock-outcome: (not-run|unknown)/);
    });
  }

  it('answers a caller whole that is still sending', async () => {
    const text = formatPost('/echo/a', 'x'.repeat(20_000_000));
    const answer = await sendRaw(place, text, false);
    assert.match(answer, /^HTTP\/1.1 413 [\s\S]*"kind":"body_too_large"/);
  });

  it('answers what is no HTTP with 400', async () => {
    assert.match(await sendRaw(place, 'hello\r\n\r\n'), /^HTTP\/1.1 400 /);
  });

  it('goes on after all of that', async () => {
    const answer = await sendRaw(place, formatPost('/echo/%61b', '{"n": 4}'));
    assert.match(answer, /\{"name":"ab","n":4\}/);
  });

  it('refuses as starting until it has routes', async () => {
    const early = new WebServer(options, undefined, log);
    const at = await early.start();
    const answer = await sendRaw(at, formatPost('/echo/a', '{"n": 4}'));
    assert.match(answer, /^HTTP\/1.1 503 [\s\S]*retry-after: 1[\s\S]*starting/);
    await early.stop();
  });
});

describe('a WebServer that closes idle connections', () => {
  const log = new RoarrLogger('tests', 'off');
  const limits = {maxBytes: 100, maxMs: 300};
  const length = 8_000_000;
  const routes: readonly Route[] = [
    {
      method: 'GET',
      path: '/long',
      handle: ({response}) => {
        response.end('a'.repeat(length));
      },
    },
  ];

  it('keeps one whose caller still reads a response that has ended', async () => {
    const server = new WebServer({listen: '127.0.0.1:0', limits}, routes, log);
    const socket = connect(splitPlace(await server.start()));
    let received = 0;
    socket.on('error', () => undefined);
    socket.on('data', (part) => (received += part.length));
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.pause();
    socket.write('GET /long HTTP/1.1\r\nHost: t\r\n\r\n');
    while (server.openResponses === 0) await sleep(10);
    server.closeIdle();
    socket.resume();
    while (server.openResponses > 0) await sleep(10);
    server.closeIdle();
    await closed;
    assert.ok(received > length, `cut after ${received} bytes`);
    await server.stop();
  });
});
