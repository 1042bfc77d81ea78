/**
 * A stand-in of a server, as a process of its own: plain calls that work for a
 * while, and streams of events. It tells its parent what it runs. Options, as
 * JSON in its first argument: id, slots, queue, workMs, events, gapMs, and
 * pageBytes for answers of that size without a length, ended by their channel.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import process from 'node:process';

const options = JSON.parse(process.argv[2]);
const {id, slots, queue = 24, workMs} = options;
const {events = 0, gapMs = 0, pageBytes = 0} = options;
const waiting = [];
let running = 0;

function tell(kind, fields) {
  process.send?.({kind, ...fields});
}

function createHeaders(message, extra) {
  return {
    'X-Irisdock-Attempt-Id': message.headers['x-irisdock-attempt-id'] ?? '',
    'X-Irisdock-Instance-Id': id,
    'X-Irisdock-Server-Load': `${running},${waiting.length},${slots}`,
    ...extra,
  };
}

function sendNotRun(message, response, status) {
  const extra = {'X-Irisdock-Not-Executed': '1', 'Content-Length': 0};
  response.writeHead(status, createHeaders(message, extra)).end();
}

async function runStream(message, response) {
  const after = Number(message.headers['last-event-id'] ?? 0);
  const extra = {
    'X-Irisdock-Server-Seal': `seal-${id}`,
    'Content-Type': 'text/event-stream',
  };
  for (let event = after + 1; event <= events; event++) {
    await wait(gapMs);
    if (response.destroyed) return;
    if (!response.headersSent) {
      response.writeHead(200, createHeaders(message, extra));
    }
    response.write(`id: ${event}\ndata: piece ${event}\n\n`);
  }
  response.end();
}

async function runCall(message, response) {
  await wait(workMs);
  if (response.destroyed) return;
  const attempt = message.headers['x-irisdock-attempt-id'];
  const body = Buffer.from(`answer of ${id} to ${attempt}`);
  const extra = {
    'X-Irisdock-Server-Seal': `seal-${id}`,
    'Content-Length': body.length,
  };
  response.writeHead(200, createHeaders(message, extra)).end(body);
}

/** Answers with a body whose end is that of the channel. */
async function runPage(message, response) {
  await wait(workMs);
  if (response.destroyed) return;
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  const extra = {'X-Irisdock-Server-Seal': `seal-${id}`, Connection: 'close'};
  response.writeHead(200, createHeaders(message, extra));
  response.end(Buffer.alloc(pageBytes, `${id} `));
}

function chooseRun() {
  if (events > 0) return runStream;
  return pageBytes > 0 ? runPage : runCall;
}

async function run({message, response}) {
  running++;
  const attempt = message.headers['x-irisdock-attempt-id'];
  tell('run', {id, attempt, method: message.method, path: message.url});
  try {
    await chooseRun()(message, response);
  } finally {
    running--;
    tell('end', {id, attempt, isWhole: response.writableEnded});
    const next = waiting.shift();
    if (next !== undefined) void run(next);
  }
}

function answerReport(message, response) {
  const report = {
    stage: 'both',
    models: [{name: 'm', version: 1, adapters: []}],
    busy: false,
    sequence: 0,
    queued_requests: waiting.length,
    running_requests: running,
    kv_cache_used: 0,
    kv_cache_total: 88_000,
    handles: 0,
  };
  const isEngine = events > 0;
  const extra = {'Content-Type': 'application/json'};
  response.writeHead(isEngine ? 200 : 404, createHeaders(message, extra));
  response.end(isEngine ? JSON.stringify(report) : '{}');
}

// More than any head that the limits allow.
const server = createServer({maxHeaderSize: 131_072}, (message, response) => {
  message.resume();
  message.once('end', () => {
    const {url, headers} = message;
    if (url === '/-/report') {
      answerReport(message, response);
      return;
    }
    // It moves no memory: there is no room for it anywhere.
    if (url.startsWith('/-/')) {
      response.writeHead(503, createHeaders(message, {})).end();
      return;
    }
    const expected = headers['x-irisdock-expected-instance'];
    if (expected !== undefined && expected !== id) {
      sendNotRun(message, response, 421);
      return;
    }
    if (url === '/health') {
      response.writeHead(200, createHeaders(message, {})).end();
      return;
    }
    if (headers['x-irisdock-attempt-id'] === undefined) {
      sendNotRun(message, response, 400);
      return;
    }
    if (running < slots) void run({message, response});
    else if (waiting.length < queue) waiting.push({message, response});
    else sendNotRun(message, response, 503);
  });
});
server.keepAliveTimeout = 15_000;
server.listen(0, '127.0.0.1', () => {
  tell('listening', {id, address: `127.0.0.1:${server.address().port}`});
});
