/**
 * A stream that is relayed to another host while that host is silent for a
 * while. The other host may be paused; its stream goes on with it, so it must
 * not be taken for lost.
 */
import assert from 'node:assert/strict';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {RoarrLogger, SeededRandom, SystemClock} from '@irisdock/kernel';
import type {HeaderCodec} from '../src/model/request_metadata.js';
import type {ServingRoute} from '../src/model/serving_configuration.js';
import type {
  AdmittedRequest,
  CallerExchange,
} from '../src/serving/caller_exchange.js';
import {
  RelayedStream,
  type RelayedStreamResult,
} from '../src/serving/relayed_stream.js';
import {RequestRelay} from '../src/serving/request_relay.js';
import type {ServingParts} from '../src/serving/serving_parts.js';
import {StreamSink} from '../src/serving/stream_sink.js';

const REPORT_PATH = '/report';
const REQUEST_ID = 'one';
const EVENTS = 4;
/** How long a host that goes on is silent, in ms. */
const PAUSE_MS = 1000;
/** How long a host is silent beyond the time of its streams, in ms. */
const STANDSTILL_MS = 8000;
/** How long the caller of a stream waits in these tests, in ms. */
const CALLER_MS = 5000;
const EVENT_STREAM = 'text/event-stream';
const ROUTE = {
  timeoutMs: 10_000,
  maxAttempts: 1,
  targetLatencyMs: 1000,
  targetGapMs: 700,
} as ServingRoute;

/** Another host, silent for a while after some events of a stream. */
class PausingHost {
  private readonly server: Server;
  private silence: Promise<void> | undefined;
  /** Requests for streams. */
  streams = 0;
  /** Called when it falls silent. */
  handlePause: (() => void) | undefined;

  /** @param eventsBefore After how many events it falls silent. */
  constructor(
    private readonly eventsBefore: number,
    private readonly silenceMs: number,
  ) {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === REPORT_PATH) {
      await this.silence;
      response.end('{}');
      return;
    }
    this.streams++;
    for (let id = 1; id <= EVENTS; id++) {
      if (id === this.eventsBefore + 1) await this.pause();
      if (id === 1) response.writeHead(200, {'Content-Type': EVENT_STREAM});
      response.write(`id: ${id}\ndata: x\n\n`);
    }
    response.end();
  }

  private async pause(): Promise<void> {
    this.silence = new Promise((resolve) =>
      setTimeout(resolve, this.silenceMs).unref(),
    );
    this.handlePause?.();
    await this.silence;
    this.silence = undefined;
  }
}

const CODEC: Partial<HeaderCodec> = {
  reportPath: REPORT_PATH,
  encodeRelay: () => [['Host', 'other']],
  encodeResponse: (lines) => lines,
  decodeResponse: () => ({
    requestId: REQUEST_ID,
    conflictingHeader: undefined,
    isSigned: true,
    isNotRun: false,
    endpointId: undefined,
    load: undefined,
    limit: undefined,
    isLeaving: false,
    pause: undefined,
  }),
};

interface RelayedAnswer {
  readonly result: RelayedStreamResult;
  /** What the caller got. */
  readonly text: string;
  /** Whether the host may be tried again at once. */
  readonly isEligible: boolean;
}

/** Relays a stream to the host at an address. */
async function sendStream(address: string): Promise<RelayedAnswer> {
  const clock = new SystemClock();
  const host = {name: 'other', address, failureDomain: 'domain'};
  const relay = new RequestRelay({
    codec: CODEC as HeaderCodec,
    peers: {name: 'own', listRelayHosts: () => [host]},
    deployment: 'tag',
    clock,
    random: new SeededRandom(1),
  });
  let text = '';
  const exchange: Partial<CallerExchange> = {
    signal: AbortSignal.timeout(CALLER_MS),
    lines: [],
    method: 'POST',
    path: '/stream/x',
    startedAt: clock.getNow(),
    startStream: () => undefined,
    writeStream: (bytes) => {
      text += bytes.toString();
      return true;
    },
  };
  const request = {
    exchange: exchange as CallerExchange,
    requestId: REQUEST_ID,
    body: Buffer.alloc(0),
    callerDeadline: clock.getNow() + ROUTE.timeoutMs,
  } as AdmittedRequest;
  const log = new RoarrLogger('test', 'off');
  const parts: Partial<ServingParts> = {relay, log, clock};
  const relayed = {
    request,
    route: ROUTE,
    service: 'engines',
    maxRuns: 1,
    resumption: undefined,
  };
  const sink = new StreamSink(request.exchange, undefined);
  const stream = new RelayedStream({
    serving: parts as ServingParts,
    sink,
    retries: {
      findDenial: () => undefined,
      take: () => true,
      record: () => undefined,
    },
    createRequest: () => relayed,
  });
  const result = await stream.run();
  const isEligible = relay.choose(relayed.service, new Set()) !== undefined;
  relay.close();
  return {result, text, isEligible};
}

describe('a relayed stream', () => {
  for (const eventsBefore of [0, 2]) {
    it(`is not lost when its host pauses after ${eventsBefore} events`, async () => {
      const host = new PausingHost(eventsBefore, PAUSE_MS);
      const {result, text} = await sendStream(await host.start());
      host.stop();
      assert.deepEqual(result, {kind: 'ended'});
      assert.equal(text.split('data: x').length - 1, EVENTS);
      assert.equal(host.streams, 1);
    });
  }

  // Guards against a second or more without events where no other host is left.
  it('may return to the host whose connection broke', async () => {
    const host = new PausingHost(2, STANDSTILL_MS);
    const answer = sendStream(await host.start());
    host.handlePause = () => {
      host.stop();
    };
    const {result, isEligible} = await answer;
    assert.equal(result.kind, 'lost');
    assert.equal(isEligible, true);
  });

  // Guards against streams that outlast their time, or are cut before it while
  // there is no other host.
  it('ends with its time when its only host stands still', async () => {
    const host = new PausingHost(2, STANDSTILL_MS);
    const {result} = await sendStream(await host.start());
    host.stop();
    assert.equal(result.kind, 'stopped');
    assert.equal(host.streams, 1);
  });
});
