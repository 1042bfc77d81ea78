/**
 * Three of five servers are in impairment: of 20 answers they replace one by bytes
 * that are not an answer. Each request must have its final answer in time.
 */
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {Channel, createRequestId} from '../lib/caller.mjs';
import {HAS_TROUBLE, runCase} from '../lib/case.mjs';
import {createConfiguration, Deployment} from '../lib/deployment.mjs';
import {sendWhole, Server} from '../lib/server.mjs';

const CONSUMERS = 30;
const WORK_MS = 40;
const SETTLE_MS = 1500;
const PLAY_MS = 12_000;
/** When the impairment begins, and how long it lasts (`for_s` 6.52 at most). */
const TROUBLE_FROM_MS = 3000;
const TROUBLE_MS = 6500;
const TIMEOUT_MS = 1000;
/** A final answer counts as given in time until so long after the timeout. */
const SLACK_MS = 500;
/** How long consumers wait; their time budget is longer than the timeout. */
const BUDGET_MS = 4000;
const PAUSE_MS = 100;
/** The servers that are impaired, of five (`garble`, share 0.6). */
const IMPAIRED = ['i-a1', 'i-a2', 'i-a3'];
/** One answer in so many is spoiled (`garble`, x = 0.05). */
const SPOILED_ONE_IN = 20;
/** So many requests or more, and over a quarter of those, break the rule. */
const MIN_LATE = 8;
const MAX_LATE_SHARE = 0.25;
/** The head of a switch to another protocol, which nobody asked for. */
const SPOILED =
  'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n';

const deployment = new Deployment();
const servers = [];
const results = [];
let answers = 0;
let spoiled = 0;
let isImpairedNow = false;

function answerWell(request) {
  setTimeout(() => sendWhole(request, 200, 'done'), WORK_MS);
}

function answerImpaired(serverId, request, record) {
  if (isImpairedNow) answers++;
  if (!isImpairedNow || answers % SPOILED_ONE_IN !== 0) {
    answerWell(request);
    return;
  }
  spoiled++;
  const id = request.headers.get('x-irisdock-attempt-id');
  record.add(`${serverId} spoils the answer to ${id}`);
  setTimeout(() => request.socket.write(SPOILED), WORK_MS);
}

async function startServers(record) {
  const scripts = new Map([
    ['i-a4', answerWell],
    ['i-a5', answerWell],
  ]);
  for (const id of IMPAIRED) {
    scripts.set(id, (request) => answerImpaired(id, request, record));
  }
  for (const [id, script] of scripts) {
    const server = new Server(id, script, record);
    servers.push(server);
    deployment.addServer(
      id,
      'orders',
      await server.start(`${deployment.net}.5`),
    );
  }
}

async function runConsumer(host, until, record) {
  let channel = new Channel(host.front);
  while (Date.now() < until) {
    const id = createRequestId();
    const request = {id, path: '/orders/2f', remainingMs: BUDGET_MS};
    const result = await channel.send(request, BUDGET_MS);
    results.push(result);
    record.add(
      `${id} to ${host.name}: ${result.end} ${result.status ?? ''} after ${result.ms} ms`,
    );
    if (result.end !== 'answered') channel = new Channel(host.front);
    await sleep(PAUSE_MS);
  }
  channel.close();
}

/** Impairs the servers once, for as long as the pages do. */
async function playTrouble(record) {
  await sleep(TROUBLE_FROM_MS);
  record.add('the impairment begins');
  isImpairedNow = HAS_TROUBLE;
  await sleep(TROUBLE_MS);
  isImpairedNow = false;
  record.add('the impairment is over');
}

async function play(record) {
  const routes = [
    {
      name: 'r-1',
      path_prefix: '/orders/',
      kind: 'safe',
      timeout_ms: TIMEOUT_MS,
    },
  ];
  await deployment.start(createConfiguration(routes), 3);
  await startServers(record);
  await sleep(SETTLE_MS);
  const until = Date.now() + PLAY_MS;
  const consumers = [];
  for (let index = 0; index < CONSUMERS; index++) {
    const host = deployment.hosts[index % deployment.hosts.length];
    consumers.push(runConsumer(host, until, record));
  }
  await Promise.all([playTrouble(record), ...consumers]);
  const open = results.filter(({ms}) => ms >= TIMEOUT_MS);
  const late = open.filter(({ms}) => ms > TIMEOUT_MS + SLACK_MS);
  record.report(`sent ${results.length}, spoiled answers ${spoiled}`);
  record.report(
    `without an answer at the timeout: ${open.length}; half a second later: ${late.length}`,
  );
  if (results.length === 0) throw new Error('nothing was sent');
  const share = late.length / Math.max(1, open.length);
  return late.length >= MIN_LATE && share > MAX_LATE_SHARE;
}

await runCase(import.meta.url, play, async () => {
  await deployment.stop();
  for (const server of servers) server.stop();
});
