/**
 * A host that stands still while its engines go on. Guards against timers that
 * fire before what arrived meanwhile is read, and against judging engines by a
 * time in which this host could not read.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  setImmediate as waitForTurn,
  setTimeout as wait,
} from 'node:timers/promises';
import {RoarrLogger, SeededRandom, SystemClock} from '@irisdock/kernel';
import {Registry} from 'prom-client';
import {TcpEndpointNetwork} from '../src/channels/endpoint_network.js';
import {EndpointPaths} from '../src/serving/endpoint_paths.js';
import {EngineClient} from '../src/serving/engine_client.js';
import {probeInstance} from '../src/serving/instance_probe.js';
import {
  EndpointProber,
  type ProbeAnswer,
} from '../src/serving/endpoint_prober.js';
import {SendPermit} from '../src/serving/send_gate.js';
import {createClient} from './fixtures/endpoint_clients.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {
  waitBlocked,
  waitBlockedNow,
  waitUntil,
  watchStream,
} from './fixtures/silences.js';
import {WorkerEngine} from './fixtures/worker_engine.js';

/** The time that an engine has to answer a probe, in ms. */
const PROBE_TIMEOUT_MS = 250;
/** After this time a probe has been sent, in ms. */
const SENT_MS = 30;
/** Longer than any limit here, in ms. */
const STALL_MS = 700;
/**
 * A stall that a probe leaves out whole, in ms: at most half of the time that
 * has passed counts as stalls (`running_timer.ts`).
 */
const SHORT_STALL_MS = 250;
/**
 * An answer after this time comes 50 ms after the short stall and the timeout
 * without it, and 160 ms before the timeout in running time.
 */
const LATE_ANSWER_MS = 330;

/** Probes an engine; this host stands still once the probe has been sent. */
async function probeStalled(
  answerAfterMs: number,
  stallMs: number,
): Promise<ProbeAnswer> {
  const engine = await WorkerEngine.start(answerAfterMs);
  const clock = new SystemClock();
  const client = createClient();
  try {
    const prober = new EndpointProber(client, '/report', clock);
    const endpoint = createEndpoint(engine.address);
    const probe = prober.probe(endpoint, PROBE_TIMEOUT_MS);
    await wait(SENT_MS);
    await waitBlocked(stallMs);
    return await probe;
  } finally {
    client.close();
    await engine.stop();
  }
}

/** Creates the paths to a service of one engine. */
function createPaths({address}: WorkerEngine): EndpointPaths {
  return new EndpointPaths({
    network: new TcpEndpointNetwork(),
    endpoints: {
      find: () => undefined,
      listUsable: () => [createEndpoint(address)],
    },
    clock: new SystemClock(),
    random: new SeededRandom(1),
    log: new RoarrLogger('test', 'off'),
    metrics: new Registry(),
  });
}

describe('a probe of an engine', () => {
  it('is answered though this host stands still meanwhile', async () => {
    assert.equal(await probeStalled(100, STALL_MS), 'answers');
  });

  // Guards against probes whose time is over at the end of a stall.
  it('has its whole time though this host stands still meanwhile', async () => {
    const answer = await probeStalled(LATE_ANSWER_MS, SHORT_STALL_MS);
    assert.equal(answer, 'answers');
  });

  it('ends at an engine that does not answer, after a stall too', async () => {
    assert.equal(await probeStalled(60_000, STALL_MS), 'silent');
  });
});

describe('a connection to an engine', () => {
  it('opens though this host stands still meanwhile', async () => {
    const engine = await WorkerEngine.start(0);
    const client = createClient();
    try {
      const target = createEndpoint(engine.address);
      const sent = client.send({
        permit: new SendPermit(target),
        requestId: undefined,
        method: 'GET',
        path: '/report',
        lines: [],
        body: Buffer.alloc(0),
        signal: new AbortController().signal,
      });
      // Node starts to connect at the end of this turn.
      waitBlockedNow(STALL_MS);
      assert.equal((await sent).kind, 'answer');
    } finally {
      client.close();
      await engine.stop();
    }
  });
});

/** Plays a silence of an engine; returns how often it was suspected. */
async function countSuspicions(
  play: (engine: WorkerEngine) => Promise<void>,
): Promise<number> {
  const engine = await WorkerEngine.start(0);
  const stream = watchStream(() => 'answers');
  const socket = await engine.openStream();
  try {
    let arrived = 0;
    socket.on('data', () => {
      arrived++;
      stream.detector.recordEvents();
    });
    stream.detector.start();
    stream.detector.recordEvents();
    await waitUntil(() => stream.countProbes() > 0);
    await play(engine);
    await waitUntil(() => arrived > 0);
    return stream.silences.length;
  } finally {
    stream.detector.stop();
    socket.destroy();
    await engine.stop();
  }
}

describe('a silent stream', () => {
  it('is not suspected when its engine goes on during a stall', async () => {
    const count = await countSuspicions(async (engine) => {
      engine.sendEvent();
      await waitBlocked(STALL_MS);
    });
    assert.equal(count, 0);
  });

  it('is not suspected for the time that its host stood still', async () => {
    const count = await countSuspicions(async (engine) => {
      await waitBlocked(STALL_MS);
      // Both machines were suspended, so the engine goes on now.
      await waitForTurn();
      await waitForTurn();
      engine.sendEvent();
    });
    assert.equal(count, 0);
  });
});

describe('the endpoints of a service', () => {
  it('are reached though this host stands still meanwhile', async () => {
    const engine = await WorkerEngine.start(0);
    const paths = createPaths(engine);
    try {
      const checked = paths.check('s');
      await waitBlocked(STALL_MS);
      assert.equal(await checked, false);
    } finally {
      paths.close();
      await engine.stop();
    }
  });
});

describe('a call to an engine', () => {
  it('is answered though this host stands still meanwhile', async () => {
    const engine = await WorkerEngine.start(100);
    const client = createClient();
    try {
      const engineClient = new EngineClient(client, new SystemClock());
      const target = createEndpoint(engine.address);
      const call = {method: 'GET', path: '/report', body: ''} as const;
      const answer = engineClient.send(target, call, PROBE_TIMEOUT_MS);
      await wait(SENT_MS);
      await waitBlocked(STALL_MS);
      assert.equal((await answer)?.status, 200);
    } finally {
      client.close();
      await engine.stop();
    }
  });
});

describe('the check of an endpoint that a run was lost on', () => {
  it('is answered though this host stands still meanwhile', async () => {
    const engine = await WorkerEngine.start(100);
    const client = createClient();
    try {
      const probe = probeInstance(
        {
          client,
          codec: {reportPath: '/report', encodeRequest: (lines) => lines},
          configuration: {findService: () => undefined},
          clock: new SystemClock(),
        },
        createEndpoint(engine.address),
      );
      await wait(SENT_MS);
      await waitBlocked(STALL_MS);
      assert.equal(await probe, 'answers');
    } finally {
      client.close();
      await engine.stop();
    }
  });
});
