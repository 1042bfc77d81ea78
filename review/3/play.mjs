/**
 * A server crashes while it runs streams whose events have ids of 16 digits. Each
 * consumer must get each piece once and in order.
 */
import {connect} from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRequestId, formatRequest} from '../lib/caller.mjs';
import {HAS_TROUBLE, runCase} from '../lib/case.mjs';
import {createConfiguration, Deployment} from '../lib/deployment.mjs';
import {listAnswerLines, Server} from '../lib/server.mjs';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';
const STREAMS = 24;
const PIECES = 60;
const PIECE_MS = 50;
const SETTLE_MS = 1500;
/** The crash comes in the middle of the streams. */
const CRASH_AFTER_MS = 1500;
const BUDGET_MS = 25_000;
/**
 * Ids count up from here. They are whole numbers that a double holds exactly, as
 * the microseconds since 1970 are.
 */
const FIRST_ID = 1764901234567000;

const deployment = new Deployment();
const servers = [];

function formatChunk(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Runs a stream, from the event after the last one that the consumer has. */
async function runStream(server, request, record) {
  const {socket, headers} = request;
  const requestId = headers.get('x-irisdock-attempt-id');
  const lastId = headers.get('last-event-id');
  const from = lastId === undefined ? 0 : Number(lastId) - FIRST_ID;
  record.add(`${server.id} runs ${requestId} after ${lastId ?? 'nothing'}`);
  const lines = [
    'HTTP/1.1 200 OK',
    ...listAnswerLines(request),
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
  ];
  socket.write(`${lines.join('\r\n')}${HEAD_END}`);
  for (let piece = from + 1; piece <= PIECES; piece++) {
    await sleep(PIECE_MS);
    if (socket.destroyed) return;
    const event = `id: ${FIRST_ID + piece}\ndata: piece ${piece}\n\n`;
    socket.write(formatChunk(event));
  }
  socket.write(LAST_CHUNK);
}

async function startServers(record) {
  const zones = ['hraun', 'fjara', 'heidi'];
  for (const [index, zone] of [...zones, ...zones].entries()) {
    const id = `i-a${index + 1}`;
    const server = new Server(id, (request) => {
      void runStream(server, request, record);
    });
    servers.push(server);
    const address = await server.start(`${deployment.net}.5`);
    deployment.addServer(id, 'drafts', address, zone);
  }
}

/** Reads a stream to its end; lists the numbers of its pieces. */
async function readStream(host, id) {
  const [ip, port] = host.front.split(':');
  const socket = connect({host: ip, port: Number(port)});
  let text = '';
  socket.on('error', () => undefined);
  const lines = [
    'X-Irisdock-Model: m',
    'X-Irisdock-Token-Counts: 200,80',
    `X-Irisdock-Prompt-Prefix: ${id}:200`,
  ];
  const path = '/drafts/2f';
  const remainingMs = BUDGET_MS;
  const request = {id, method: 'POST', path, body: id, lines, remainingMs};
  await new Promise((resolve) => {
    const timer = setTimeout(() => socket.destroy(), BUDGET_MS);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (text.endsWith(LAST_CHUNK)) socket.destroy();
    });
    socket.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
    socket.write(formatRequest(request));
  });
  const pieces = [...text.matchAll(/^data: piece (\d+)$/gmu)];
  const numbers = pieces.map(([, number]) => Number(number));
  return {numbers, isComplete: text.endsWith(LAST_CHUNK)};
}

/** Crashes the server that runs most streams, which resets its channels. */
function crashBusiest(record) {
  const [busiest] = [...servers].sort(
    (a, b) => b.sockets.size - a.sockets.size,
  );
  record.add(`${busiest.id} crashes, with ${busiest.sockets.size} channels`);
  busiest.server.close();
  for (const socket of busiest.sockets) socket.resetAndDestroy();
}

function countRepeated(numbers) {
  return numbers.filter((number, index) => number <= (numbers[index - 1] ?? 0))
    .length;
}

async function play(record) {
  const routes = [
    {
      name: 'r-1',
      path_prefix: '/drafts/',
      kind: 'streaming',
      service: 'drafts',
      resumable: true,
      sticky: true,
      attempts: 5,
      timeout_ms: BUDGET_MS,
      target_latency_ms: 4500,
      target_gap_ms: 700,
    },
  ];
  const engine = {slots: 64, kv_cache_tokens: 88000, backups: false};
  const service = {name: 'drafts', health_path: '/health', engine};
  const services = [{...service, connection_limit: 370}];
  await deployment.start(createConfiguration(routes, {services}), 3);
  await startServers(record);
  await sleep(SETTLE_MS);
  const reading = [];
  for (let index = 0; index < STREAMS; index++) {
    const host = deployment.hosts[index % deployment.hosts.length];
    const id = createRequestId();
    reading.push(readStream(host, id).then((result) => ({id, ...result})));
  }
  await sleep(CRASH_AFTER_MS);
  if (HAS_TROUBLE) crashBusiest(record);
  let broken = 0;
  for (const {id, numbers, isComplete} of await Promise.all(reading)) {
    record.add(`${id} got ${numbers.join(' ')}, complete: ${isComplete}`);
    const repeated = countRepeated(numbers);
    if (repeated > 0) broken++;
    if (!HAS_TROUBLE && numbers.length !== PIECES) {
      throw new Error('a stream did not arrive');
    }
  }
  record.report(
    `streams ${STREAMS}, that go back and repeat pieces: ${broken}`,
  );
  return broken > 0;
}

await runCase(import.meta.url, play, async () => {
  await deployment.stop();
  for (const server of servers) server.stop();
});
