/**
 * The service `streams`: serves generation requests. It records the requests
 * that this host has started, attaches a reconnecting caller to its running
 * response, and takes over responses that started on other hosts.
 */
import {
  createService,
  createServiceKey,
  type Clock,
  type Random,
} from '@irisdock/kernel';
import {
  DEFAULT_RETRY_BUDGET,
  RetryBudget,
  type Signer,
} from '@irisdock/decisions';
import {err, ok, type Result} from 'neverthrow';
import {Gauge} from 'prom-client';
import {
  AnswerDriver,
  createTakenUp,
  type DriveOutcome,
} from '../answer/answer_driver.js';
import type {AttemptOptions} from '../answer/answer_attempt.js';
import type {AnswerSink} from '../answer/answer_sink.js';
import {EngineChooser} from '../answer/engine_chooser.js';
import {RecordFinder, type StreamRequest} from '../answer/record_finder.js';
import {RequestLedger} from '../answer/request_ledger.js';
import type {RequestRecord} from '../answer/request_record.js';
import {StreamMetrics} from '../answer/stream_metrics.js';
import {DAEMON_ERRORS} from '../errors.js';
import {STREAMS_SETTINGS} from '../answer/streams_settings.js';
import {ADMISSION, type Admission} from './admission.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {ENDPOINTS, type EndpointDirectory} from './endpoint_directory.js';
import {HOST} from './host.js';
import {OWNERSHIP, type OwnerRefusal, type Ownership} from './ownership.js';
import {PEER_LINKS} from './peer_links.js';

/** The dependencies and limits of the service. */
export interface StreamsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly signer: Signer;
  readonly admission: Admission;
  readonly directory: EndpointDirectory;
  readonly configuration: Configuration;
  readonly ownership: Ownership;
  readonly metrics: StreamMetrics;
  readonly attemptOptions: AttemptOptions;
  readonly resumeWaitMs: number;
  readonly graceMs: number;
  readonly keepEndedMs: number;
}

/** Serves generation requests. */
export class Streams {
  private readonly ledger: RequestLedger<RequestRecord>;
  private readonly finder: RecordFinder;
  private readonly budget = new RetryBudget(DEFAULT_RETRY_BUDGET);
  private running = 0;

  constructor(private readonly parts: StreamsParts) {
    this.ledger = new RequestLedger(parts.ownership.retentionMs, (record) => {
      return record.state !== 'running';
    });
    const {ownership, clock, random} = parts;
    const {ledger} = this;
    this.finder = new RecordFinder({ledger, ownership, clock, random});
  }

  /** The number of responses in progress. */
  get inFlight(): number {
    return this.running;
  }

  /** The number of requests in the ledger. */
  get remembered(): number {
    return this.ledger.size;
  }

  /** Writes the response to a sink; resolves to the refusal if there is one. */
  async serve(
    request: StreamRequest,
    sink: AnswerSink,
  ): Promise<Result<void, OwnerRefusal>> {
    this.ledger.dropExpired(this.parts.clock.getNow());
    const record = this.finder.find(request);
    if (record.isErr()) return err(record.error);
    await this.runDriver(request, sink, record.value);
    return ok();
  }

  private async runDriver(
    request: StreamRequest,
    sink: AnswerSink,
    record: RequestRecord,
  ): Promise<void> {
    await record.lock.acquire();
    this.running++;
    try {
      const outcome = await this.drive(request, sink, record).finally(() => {
        record.lock.release();
      });
      this.finish(record, sink, outcome);
    } finally {
      this.running--;
    }
  }

  private async drive(
    request: StreamRequest,
    sink: AnswerSink,
    record: RequestRecord,
  ): Promise<DriveOutcome> {
    if (record.state === 'dropped') record.state = 'running';
    const driver = this.createDriver(record, sink);
    // Read only under the lock: until then another driver may change where the
    // request runs.
    const {service} = record.request;
    const endpoint = record.mayHaveRun
      ? this.parts.directory.open(record.endpoint, service)
      : undefined;
    return driver.run(request.fromOffset, endpoint);
  }

  private createDriver(record: RequestRecord, sink: AnswerSink): AnswerDriver {
    const {parts, budget} = this;
    const {directory, configuration, random} = parts;
    const {request} = record;
    budget.addFirstAttempt();
    const chooser = new EngineChooser(
      request,
      directory,
      configuration,
      random,
    );
    return new AnswerDriver({...parts, chooser, budget}, record, sink);
  }

  private finish(
    record: RequestRecord,
    sink: AnswerSink,
    outcome: DriveOutcome,
  ): void {
    this.parts.metrics.answers.inc({outcome});
    if (outcome === 'superseded') {
      const loss = 'another host took it over';
      sink.fail(DAEMON_ERRORS.create('generation_lost', {loss}, 1));
    }
    // A newer connection took over the response: end this one immediately.
    if (outcome === 'stopped' && !sink.signal.aborted) {
      sink.fail(createTakenUp());
    }
    // Only the last driver settles the request: if its entry were removed from
    // the ledger while another driver continues, the request could start again.
    if (record.lock.isFree) this.finishRecord(record, outcome);
  }

  /** Settles a request that no driver on this host continues. */
  private finishRecord(record: RequestRecord, outcome: DriveOutcome): void {
    if (outcome === 'ended') {
      this.planTokenRelease(record);
      return;
    }
    const hasRun = record.mayHaveRun;
    if (outcome === 'stopped' && hasRun) {
      this.planCancel(record);
      return;
    }
    record.state = 'dropped';
    // Nothing of the request ran, so its id may start it again.
    if (!hasRun) this.ledger.remove(record.request.id, record);
  }

  /** Drops the text of a response after the time left for reconnects. */
  private planTokenRelease(record: RequestRecord): void {
    const timer = setTimeout(() => {
      record.dropTokens();
    }, this.parts.keepEndedMs);
    timer.unref();
  }

  /** Cancels a generation unless its caller reconnects in time. */
  private planCancel(record: RequestRecord): void {
    const {lock} = record;
    const {signal} = lock;
    const timer = setTimeout(() => {
      const isTakenUp = !lock.isFree || lock.signal !== signal;
      if (isTakenUp || record.state !== 'running') return;
      record.state = 'dropped';
      const engine = this.parts.directory.find(record.endpoint)?.clients.engine;
      void engine?.cancel(record.request.id, record.generation + 1);
    }, this.parts.graceMs);
    timer.unref();
  }
}

/** The key of the service. */
export const STREAMS = createServiceKey<Streams>('streams');

/** Declares the service. */
export const STREAMS_SERVICE = createService({
  key: STREAMS,
  settings: STREAMS_SETTINGS,
  needs: [ADMISSION, CONFIGURATION, ENDPOINTS, HOST, OWNERSHIP, PEER_LINKS],
  create(context, settings) {
    const {minProbeMs, maxProbeMs, minLostMs, maxLostMs} = settings;
    const {probeTimeoutMs, minFirstTokenMs, firstTokenMs} = settings;
    const {maxSilenceMs, resumeWaitMs, graceMs, keepEndedMs} = settings;
    const bounds = {minProbeMs, maxProbeMs, minLostMs, maxLostMs};
    const api = new Streams({
      clock: context.clock,
      random: context.random,
      signer: context.find(HOST).signer,
      admission: context.find(ADMISSION),
      directory: context.find(ENDPOINTS),
      configuration: context.find(CONFIGURATION),
      ownership: context.find(OWNERSHIP),
      metrics: new StreamMetrics(context.metrics),
      attemptOptions: {
        bounds,
        minFirstTokenMs,
        firstTokenMs,
        probeTimeoutMs,
        maxSilenceMs,
      },
      resumeWaitMs,
      graceMs,
      keepEndedMs,
    });
    new Gauge({
      name: 'irisdock_streams_in_flight',
      help: 'Responses in progress, a count.',
      registers: [context.metrics],
      collect() {
        this.set(api.inFlight);
      },
    });
    new Gauge({
      name: 'irisdock_streams_remembered',
      help: 'Requests whose outcome is remembered, a count.',
      registers: [context.metrics],
      collect() {
        this.set(api.remembered);
      },
    });
    context.find(PEER_LINKS).countInFlight = () => api.inFlight;
    return {api};
  },
});
