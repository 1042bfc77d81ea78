/** One request that is sent again and again is one request. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom, SystemClock, type KnownError} from '@irisdock/kernel';
import {Signer} from '@irisdock/decisions';
import {ok} from 'neverthrow';
import {Registry} from 'prom-client';
import type {AnswerSink} from '../src/answer/answer_sink.js';
import {AnswerDriver, type DriverParts} from '../src/answer/answer_driver.js';
import type {StreamAsk} from '../src/answer/record_finder.js';
import {
  RequestRecord,
  type GenerationRequest,
} from '../src/answer/request_record.js';
import {StreamMetrics} from '../src/answer/stream_metrics.js';
import type {IncomingRequest} from '../src/services/ownership.js';
import {Streams, type StreamsParts} from '../src/services/streams.js';
import {createAdmission} from './fixtures.js';

/** A caller's end that notes what it is told. */
class FakeSink implements AnswerSink {
  readonly controller = new AbortController();
  readonly signal = this.controller.signal;
  readonly told: string[] = [];

  setResume(): void {
    this.told.push('resume');
  }

  write(): Promise<void> | undefined {
    return undefined;
  }

  end(): void {
    this.told.push('end');
  }

  fail(error: KnownError): void {
    this.told.push(error.kind);
  }
}

/** Creates streams without an endpoint; notes what was known at each send. */
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

function createAsk(): StreamAsk {
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
    id: {origin: 'caller'} as StreamAsk['id'],
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

/** Lets everything run that is due. */
async function runDue(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('Streams', () => {
  it('knows a request that was taken up while it waited', async () => {
    const ledgers: (string | undefined)[] = [];
    const streams = createStreams(ledgers);
    const [first, second, third] = createSinks();
    const served: Promise<unknown>[] = [];
    for (const sink of [first, second, third]) {
      served.push(streams.serve(createAsk(), sink));
      await runDue();
    }
    // Were it unknown at the third, it would be started beside the second.
    assert.deepEqual(ledgers, [undefined, 'running', 'running']);
    assert.deepEqual(first.told, ['answer_taken_up']);
    assert.deepEqual(second.told, ['answer_taken_up']);
    assert.deepEqual(third.told, []);
    assert.equal(streams.inFlight, 1);
    third.controller.abort();
    await Promise.all(served);
  });

  it('keeps a request id for the body that it came with first', async () => {
    const streams = createStreams([]);
    const sink = new FakeSink();
    const first = streams.serve(createAsk(), sink);
    await runDue();
    const {request, ...ask} = createAsk();
    // Another body, and a text that is not the one kept: taken for another's.
    const other = {...ask, request: {...request, digest: 'other'}};
    const given = {...other, fromOffset: 3, receivedText: 'abc'};
    for (const sent of [other, given]) {
      const answer = await streams.serve(sent, new FakeSink());
      assert.equal(answer._unsafeUnwrapErr().error.kind, 'resume_mismatch');
    }
    sink.controller.abort();
    await first;
  });

  it('stops a driver whose caller reads no more', async () => {
    const record = new RequestRecord(createAsk().request, 'n', 0, '');
    record.addToken('a token');
    const sink = new FakeSink();
    // The connection is half open: what is written is never taken.
    sink.write = () => new Promise(() => undefined);
    const parts = {
      clock: new SystemClock(),
      signer: new Signer('a key of sixteen or more characters'),
      admission: createAdmission(),
    };
    await record.lock.take();
    const driver = new AnswerDriver(
      parts as unknown as DriverParts,
      record,
      sink,
    );
    const outcome = driver.run(0, undefined).finally(() => {
      record.lock.end();
    });
    await runDue();
    await record.lock.take();
    assert.equal(await outcome, 'stopped');
  });

  it('forgets a request whose caller left before anything ran', async () => {
    const ledgers: (string | undefined)[] = [];
    const streams = createStreams(ledgers);
    for (let time = 0; time < 2; time++) {
      const sink = new FakeSink();
      const served = streams.serve(createAsk(), sink);
      await runDue();
      sink.controller.abort();
      await served;
    }
    assert.deepEqual(ledgers, [undefined, undefined]);
    assert.equal(streams.remembered, 0);
  });
});
