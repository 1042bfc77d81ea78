/**
 * The service `streams`: answers requests for text. It keeps what this host
 * has started, joins a caller that comes back to its answer, and takes over
 * answers that began on other hosts.
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
import type {LegOptions} from '../answer/answer_leg.js';
import type {AnswerSink} from '../answer/answer_sink.js';
import {EngineChooser} from '../answer/engine_chooser.js';
import {RecordFinder, type StreamAsk} from '../answer/record_finder.js';
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

/** What the service works with. */
export interface StreamsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly signer: Signer;
  readonly admission: Admission;
  readonly directory: EndpointDirectory;
  readonly configuration: Configuration;
  readonly ownership: Ownership;
  readonly metrics: StreamMetrics;
  readonly legOptions: LegOptions;
  readonly resumeWaitMs: number;
  readonly graceMs: number;
  readonly keepEndedMs: number;
}

/** Answers requests for text. */
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

  /** Answers that are being given now. */
  get inFlight(): number {
    return this.running;
  }

  /** Requests that are remembered. */
  get remembered(): number {
    return this.ledger.size;
  }

  /** Answers a request into a sink, or gives the reason why not. */
  async serve(
    ask: StreamAsk,
    sink: AnswerSink,
  ): Promise<Result<void, OwnerRefusal>> {
    this.ledger.dropOld(this.parts.clock.getNow());
    const record = this.finder.find(ask);
    if (record.isErr()) return err(record.error);
    await this.runDriver(ask, sink, record.value);
    return ok();
  }

  private async runDriver(
    ask: StreamAsk,
    sink: AnswerSink,
    record: RequestRecord,
  ): Promise<void> {
    await record.lock.take();
    this.running++;
    try {
      const outcome = await this.drive(ask, sink, record).finally(() => {
        record.lock.end();
      });
      this.finish(record, sink, outcome);
    } finally {
      this.running--;
    }
  }

  private async drive(
    ask: StreamAsk,
    sink: AnswerSink,
    record: RequestRecord,
  ): Promise<DriveOutcome> {
    if (record.state === 'dropped') record.state = 'running';
    const driver = this.createDriver(record, sink);
    // Where it runs is known only now that no other driver changes it.
    const {service} = record.request;
    const endpoint = record.mayHaveRun
      ? this.parts.directory.open(record.endpoint, service)
      : undefined;
    return driver.run(ask.fromOffset, endpoint);
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
    // A newer connection took it up; the one before learns it at once.
    if (outcome === 'stopped' && !sink.signal.aborted) {
      sink.fail(createTakenUp());
    }
    // What became of the request is settled by its last driver: taken off the
    // ledger under one that goes on with it, it could be started again.
    if (record.lock.isFree) this.finishRecord(record, outcome);
  }

  /** Settles how a request stands that nobody goes on with here. */
  private finishRecord(record: RequestRecord, outcome: DriveOutcome): void {
    if (outcome === 'ended') {
      this.planForget(record);
      return;
    }
    const hasRun = record.mayHaveRun;
    if (outcome === 'stopped' && hasRun) {
      this.planDrop(record);
      return;
    }
    record.state = 'dropped';
    // Nothing of it ran, so its id may start anew.
    if (!hasRun) this.ledger.remove(record.request.id, record);
  }

  /** Forgets the text of an answer once its caller has had time for it. */
  private planForget(record: RequestRecord): void {
    const timer = setTimeout(() => {
      record.dropTokens();
    }, this.parts.keepEndedMs);
    timer.unref();
  }

  /** Drops a generation whose caller does not come back. */
  private planDrop(record: RequestRecord): void {
    const {lock} = record;
    const {signal} = lock;
    const timer = setTimeout(() => {
      const takenUp = !lock.isFree || lock.signal !== signal;
      if (takenUp || record.state !== 'running') return;
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
    const {resumeWaitMs, graceMs, keepEndedMs} = settings;
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
      legOptions: {bounds, minFirstTokenMs, firstTokenMs, probeTimeoutMs},
      resumeWaitMs,
      graceMs,
      keepEndedMs,
    });
    new Gauge({
      name: 'irisdock_streams_in_flight',
      help: 'Answers being given now, a count.',
      registers: [context.metrics],
      collect() {
        this.set(api.inFlight);
      },
    });
    new Gauge({
      name: 'irisdock_streams_remembered',
      help: 'Requests whose fate is remembered, a count.',
      registers: [context.metrics],
      collect() {
        this.set(api.remembered);
      },
    });
    context.find(PEER_LINKS).countInFlight = () => api.inFlight;
    return {api};
  },
});
