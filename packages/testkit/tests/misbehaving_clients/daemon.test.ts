/**
 * Clients of the daemon that don't behave.
 *
 * Guards against a daemon that runs out of memory by what clients send to its
 * addresses, or stops answering others meanwhile. The bound is the memory of
 * its machine.
 */
import assert from 'node:assert/strict';
import {
  connect as connectHttp2,
  type ClientHttp2Session,
  type ClientHttp2Stream,
} from 'node:http2';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {splitPlace} from '@irisdock/kernel';
import {
  CHUNK_BYTES,
  createClients,
  createDeployment,
  createLargeChunks,
  createOneByteChunks,
  createPipeline,
  createPlainBytes,
  NAMES,
  checkUnderCrowd,
  sendHttp,
  type ClientBytes,
  type CrowdTarget,
  type DaemonNode,
} from '@irisdock/testkit';

/** The memory of its machine, in MB. */
const MACHINE_MB = 200;
const MAX_BODY_BYTES = 1_048_576;
const SENT_BYTES = 4_194_304;
/** What one host sends of a call that has no end. */
const ENDLESS_BYTES = 33_554_432;
const TEST_LIMIT = {timeout: 120_000};
const CHUNKED = 'Transfer-Encoding: chunked';
const CALL_PATH = `/s/${NAMES.plain}/x`;

function formatHead(method: string, path: string, line: string): string {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'Host: t',
    `X-Irisdock-Team: ${NAMES.team}`,
    line,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function createTarget({process, places}: DaemonNode): CrowdTarget {
  const url = `http://${places.caller}${CALL_PATH}`;
  const headers = {'x-irisdock-team': NAMES.team};
  return {
    process,
    memoryMb: MACHINE_MB,
    sendOrdinary: async () => {
      return (await sendHttp(url, {method: 'POST', headers, body: '1'})).status;
    },
  };
}

async function runWithDaemon(
  body: (daemon: DaemonNode) => Promise<void>,
  maxBodyBytes = MAX_BODY_BYTES,
): Promise<void> {
  const deployment = await createDeployment({
    daemons: 1,
    engines: 0,
    plains: 1,
    // V8 sizes its heap by the memory of the machine that runs the test.
    daemonEnv: {
      NODE_OPTIONS: '--max-old-space-size=120 --max-semi-space-size=2',
    },
    daemonArgs: [
      ...['--listen-max-body-bytes', String(maxBodyBytes)],
      ...['--listen-max-body-ms', '60000'],
    ],
  });
  try {
    await body(deployment.getDaemon(0));
  } finally {
    await deployment.stop();
  }
}

/** What many clients send to one address. */
interface CrowdCase {
  readonly what: string;
  readonly place: 'caller' | 'operator' | 'peer';
  readonly count: number;
  readonly bytes: ClientBytes;
  readonly isReading?: boolean;
}

function createGets(path: string): ClientBytes {
  return createPipeline(`GET ${path} HTTP/1.1\r\nHost: t\r\n\r\n`, SENT_BYTES);
}

const NEAR_BYTES = MAX_BODY_BYTES - CHUNK_BYTES;
const CALL_HEAD = formatHead('POST', CALL_PATH, CHUNKED);
const RESOURCE = `/v1/resources/team/${NAMES.team}`;

const CASES: readonly CrowdCase[] = [
  {
    what: '20 bodies in chunks of one byte that stop short',
    place: 'caller',
    count: 20,
    bytes: createOneByteChunks(CALL_HEAD, NEAR_BYTES),
  },
  {
    what: '160 bodies in large chunks that stop short',
    place: 'caller',
    count: 160,
    bytes: createLargeChunks(CALL_HEAD, NEAR_BYTES),
  },
  {
    what: '160 bodies of a known length that stop short',
    place: 'caller',
    count: 160,
    bytes: createPlainBytes(
      formatHead('POST', CALL_PATH, `Content-Length: ${MAX_BODY_BYTES}`),
      NEAR_BYTES,
    ),
  },
  {
    what: '60 bodies far over the limit',
    place: 'caller',
    count: 60,
    bytes: createLargeChunks(CALL_HEAD, 33_554_432),
    isReading: true,
  },
  {
    what: '160 resources that stop short',
    place: 'operator',
    count: 160,
    bytes: createLargeChunks(formatHead('PUT', RESOURCE, CHUNKED), NEAR_BYTES),
  },
  {
    what: '60 pipelines for callers on a path without a route',
    place: 'caller',
    count: 60,
    bytes: createGets('/none'),
  },
  {
    what: '60 pipelines of whole calls',
    place: 'caller',
    count: 60,
    bytes: createPipeline(
      `${formatHead('POST', CALL_PATH, 'Content-Length: 2')}ok`,
      SENT_BYTES,
    ),
  },
  {
    what: '60 pipelines of readiness checks',
    place: 'operator',
    count: 60,
    bytes: createGets('/readyz'),
  },
  {
    what: '20 pipelines of questions for metrics',
    place: 'operator',
    count: 20,
    bytes: createGets('/metrics'),
  },
  {
    what: '60 clients that send other bytes than calls of hosts',
    place: 'peer',
    count: 60,
    bytes: createGets('/none'),
  },
];

/** Starts calls of a host whose messages don't end; gives the connections. */
async function openEndlessCalls(
  address: string,
  count: number,
): Promise<ClientHttp2Session[]> {
  const sessions = Array.from({length: count}, () =>
    connectHttp2(`http://${address}`),
  );
  await Promise.all(sessions.map((session) => sendEndlessCall(session)));
  return sessions;
}

/** Sends much of one message; resolves when it has left or is refused. */
async function sendEndlessCall(session: ClientHttp2Session): Promise<void> {
  session.on('error', () => undefined);
  const call = session.request({
    ':method': 'POST',
    ':path': '/irisdock.peer.v1.PeerService/Tell',
    'content-type': 'application/proto',
  });
  call.on('error', () => undefined);
  call.resume();
  // A server that refuses the call answers it and reads nothing more.
  const {signal} = watchEnd(call);
  const ended = new Promise((resolve) => {
    signal.addEventListener('abort', resolve);
  });
  const piece = Buffer.alloc(CHUNK_BYTES);
  for (
    let sent = 0;
    sent < ENDLESS_BYTES && !signal.aborted;
    sent += CHUNK_BYTES
  ) {
    const left = new Promise((resolve) => call.write(piece, resolve));
    await Promise.race([left, ended]);
  }
}

/** Aborts once a call is answered or closed. */
function watchEnd(call: ClientHttp2Stream): AbortController {
  const controller = new AbortController();
  const end = (): void => {
    controller.abort();
  };
  call.once('response', end).once('close', end);
  return controller;
}

describe('a daemon on a machine of 200 MB', () => {
  it('survives 20 hosts whose calls are far too long', TEST_LIMIT, async () => {
    await runWithDaemon(async (daemon) => {
      const sessions = await openEndlessCalls(daemon.places.peer, 20);
      await checkUnderCrowd(createTarget(daemon), []).finally(() => {
        for (const session of sessions) session.destroy();
      });
    });
  });

  it('serves one call of 4 MB in chunks of one byte', TEST_LIMIT, async () => {
    await runWithDaemon(async (daemon) => {
      const {piece, pieceCount} = createOneByteChunks('', 4_186_112);
      const socket = connect(splitPlace(daemon.places.caller));
      let text = '';
      socket.on('data', (part) => (text += part.toString('latin1')));
      socket.on('error', () => undefined);
      const closed = new Promise((resolve) => socket.once('close', resolve));
      socket.write(
        formatHead('POST', CALL_PATH, `${CHUNKED}\r\nConnection: close`),
      );
      for (let at = 0; at < pieceCount; at++) {
        await new Promise((resolve) => socket.write(piece, resolve));
      }
      socket.write('0\r\n\r\n');
      await closed;
      assert.match(text, /^HTTP\/1\.1 200 /u);
      await checkUnderCrowd(createTarget(daemon), []);
    }, 4_194_304);
  });

  for (const {what, place, count, bytes, isReading = false} of CASES) {
    it(`survives ${what}`, TEST_LIMIT, async () => {
      await runWithDaemon(async (daemon) => {
        const address = daemon.places[place];
        const plan = {address, bytes, isReading};
        await checkUnderCrowd(createTarget(daemon), createClients(count, plan));
      });
    });
  }
});
