/**
 * A stand-in for a server of a service. It reads HTTP/1.1 requests from a
 * socket and passes each to a script that answers with bytes of its own.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import {performance} from 'node:perf_hooks';

const HEAD_END = '\r\n\r\n';

/** Listens on a free port of a loopback address. */
export class Server {
  /** @param record Gets a line for each request that the server runs. */
  constructor(id, script, record) {
    this.id = id;
    this.script = script;
    this.record = record;
    this.seen = [];
    this.sockets = new Set();
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
      this.readRequests(socket);
    });
  }

  async start(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  readRequests(socket) {
    let bytes = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const end = bytes.indexOf(HEAD_END);
        if (end === -1) return;
        const request = parseHead(bytes.subarray(0, end).toString('latin1'));
        const length = Number(request.headers.get('content-length') ?? 0);
        const bodyEnd = end + HEAD_END.length + length;
        if (bytes.length < bodyEnd) return;
        request.body = bytes.subarray(end + HEAD_END.length, bodyEnd);
        bytes = bytes.subarray(bodyEnd);
        this.handle({...request, socket});
      }
    });
  }

  handle(request) {
    const {headers, socket} = request;
    const expected = headers.get('x-irisdock-expected-instance');
    if (request.path === '/health') {
      const lines = [`X-Irisdock-Instance-Id: ${this.id}`, 'Content-Length: 0'];
      socket.write(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}${HEAD_END}`);
      return;
    }
    if (!headers.has('x-irisdock-attempt-id')) {
      const lines = ['X-Irisdock-Not-Executed: 1', 'Content-Length: 0'];
      socket.write(`HTTP/1.1 400 No Id\r\n${lines.join('\r\n')}${HEAD_END}`);
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      const lines = [`X-Irisdock-Instance-Id: ${this.id}`, 'Content-Length: 0'];
      socket.write(
        `HTTP/1.1 421 Misdirected\r\n${lines.join('\r\n')}${HEAD_END}`,
      );
      return;
    }
    this.seen.push({...request, at: performance.now()});
    const requestId = headers.get('x-irisdock-attempt-id');
    this.record?.add(`${this.id} runs ${requestId}`);
    this.script(request);
  }
}

function parseHead(text) {
  const [requestLine, ...lines] = text.split('\r\n');
  const [method, path] = requestLine.split(' ');
  const headers = new Map();
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers.set(
      line.slice(0, colon).toLowerCase(),
      line.slice(colon + 1).trim(),
    );
  }
  return {method, path, headers, head: text};
}

/** Formats the lines that each answer of a server carries. */
export function listAnswerLines({headers}) {
  const id = headers.get('x-irisdock-attempt-id') ?? '';
  return [
    `X-Irisdock-Attempt-Id: ${id}`,
    'X-Irisdock-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1',
  ];
}

/** Answers with a status and a body that has a length. */
export function sendWhole(request, status, body) {
  const lines = [
    `HTTP/1.1 ${status} Text`,
    ...listAnswerLines(request),
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  request.socket.write(`${lines.join('\r\n')}${HEAD_END}${body}`);
}
