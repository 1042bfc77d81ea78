/**
 * Repeated connections of one request share its record and its driver. Guards
 * against starting a request twice when its caller reconnects.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom, SystemClock, type KnownError} from '@irisdock/kernel';
import {Signer} from '@irisdock/decisions';
import {ok} from 'neverthrow';
import {Registry} from 'prom-client';
import type {AnswerSink} from '../src/answer/answer_sink.js';
import {AnswerDriver, type DriverParts} from '../src/answer/answer_driver.js';
import type {StreamRequest} from '../src/answer/record_finder.js';
import {
  RequestRecord,
  type GenerationRequest,
} from '../src/answer/request_record.js';
import {StreamMetrics} from '../src/answer/stream_metrics.js';
import type {IncomingRequest} from '../src/services/ownership.js';
import {Streams, type StreamsParts} from '../src/services/streams.js';
import {createAdmission} from './fixtures.js';

/** A sink that records the calls made to it. */
class FakeSink implements AnswerSink {
  readonly controller = new AbortController();
  readonly signal = this.controller.signal;
  readonly calls: string[] = [];

  setResume(): void {
    this.calls.push('resume');
  }

  write(): Promise<void> | undefined {
    return undefined;
  }

  end(): void {
    this.calls.push('end');
  }

  fail(error: KnownError): void {
    this.calls.push(error.kind);
  }
}

/** Creates streams without endpoints; records the ledger state per request. */
function createStreams(ledgers: (string | undefined)[]): Streams {
  const clock = new SystemClock();
  const parts = {
    clock,
    random: new SeededRandom(1),
    admission: createAdmission(),
    directory: {listUsable: () => [], prefixes: {}},
    configuration: {listSpecs: () => []},
    ownership: {
      keepMs: 1000,
      check: ({ledger}: IncomingRequest) => {
        ledgers.push(ledger);
        return ok(ledger === undefined ? 'start' : 'join');
      },
    },
    metrics: new StreamMetrics(new Registry()),
    resumeWaitMs: 10,
    graceMs: 10,
    keepEndedMs: 10,
  };
  return new Streams(parts as unknown as StreamsParts);
}

function createRequest(): StreamRequest {
  const request = {
    id: 'r',
    service: 's',
    team: 't',
    digest: 'd',
    maxTokens: 5,
    maxQueueMs: 60_000,
    maxInFlight: 0,
    weight: 1,
    spec: {maxQueue: 5},
    repeatable: false,
  };
  return {
    id: {origin: 'caller'} as StreamRequest['id'],
    request: request as unknown as GenerationRequest,
    fromOffset: 0,
    resuming: false,
    resumeData: undefined,
    receivedText: undefined,
  };
}

function createSinks(): [FakeSink, FakeSink, FakeSink] {
  return [new FakeSink(), new FakeSink(), new FakeSink()];
}

/** Waits until pending callbacks have run. */
async function runDue(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('Streams', () => {
  it('recognizes a request that a newer connection took over', async () => {
    const ledgers: (string | undefined)[] = [];
    const streams = createStreams(ledgers);
    const [first, second, third] = createSinks();
    const served: Promise<unknown>[] = [];
    for (const sink of [first, second, third]) {
      served.push(streams.serve(createRequest(), sink));
      await runDue();
    }
    // If the third connection didn't find it, it would run in parallel.
    assert.deepEqual(ledgers, [undefined, 'running', 'running']);
    assert.deepEqual(first.calls, ['answer_taken_up']);
    assert.deepEqual(second.calls, ['answer_taken_up']);
    assert.deepEqual(third.calls, []);
    assert.equal(streams.inFlight, 1);
    third.controller.abort();
    await Promise.all(served);
  });

  it('rejects a request id that is reused with another body', async () => {
    const streams = createStreams([]);
    const sink = new FakeSink();
    const first = streams.serve(createRequest(), sink);
    await runDue();
    const {request, ...rest} = createRequest();
    // Another body, without and with a received text that isn't the record's.
    const other = {...rest, request: {...request, digest: 'other'}};
    const withText = {...other, fromOffset: 3, receivedText: 'abc'};
    for (const sent of [other, withText]) {
      const answer = await streams.serve(sent, new FakeSink());
      assert.equal(answer._unsafeUnwrapErr().error.kind, 'resume_mismatch');
    }
    sink.controller.abort();
    await first;
  });

  it('stops a driver whose caller no longer reads', async () => {
    const record = new RequestRecord(createRequest().request, 'n', 0, '');
    record.addToken('a token');
    const sink = new FakeSink();
    // The connection is half open: a write never completes.
    sink.write = () => new Promise(() => undefined);
    const parts = {
      clock: new SystemClock(),
      signer: new Signer('a key of sixteen or more characters'),
      admission: createAdmission(),
    };
    await record.lock.acquire();
    const driver = new AnswerDriver(
      parts as unknown as DriverParts,
      record,
      sink,
    );
    const outcome = driver.run(0, undefined).finally(() => {
      record.lock.release();
    });
    await runDue();
    await record.lock.acquire();
    assert.equal(await outcome, 'stopped');
  });

  it('removes a request whose caller left before anything ran', async () => {
    const ledgers: (string | undefined)[] = [];
    const streams = createStreams(ledgers);
    for (let time = 0; time < 2; time++) {
      const sink = new FakeSink();
      const served = streams.serve(createRequest(), sink);
      await runDue();
      sink.controller.abort();
      await served;
    }
    assert.deepEqual(ledgers, [undefined, undefined]);
    assert.equal(streams.remembered, 0);
  });
});
