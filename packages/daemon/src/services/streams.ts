/**
 * The service `streams`: answers requests for text. It keeps what this host
 * has started, joins a caller that comes back to its answer, and takes over
 * answers that began on other hosts.
 */
import {
  createService,
  createServiceKey,
  type Clock,
  type KnownError,
  type Random,
} from '@irisdock/kernel';
import {
  getTakeover,
  isRecordFit,
  RETRY_BUDGET,
  RetryBudget,
  type ReadId,
  type ResumeData,
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
import {RequestLedger} from '../answer/request_ledger.js';
import {
  RequestRecord,
  type GenerationRequest,
} from '../answer/request_record.js';
import {StreamMetrics} from '../answer/stream_metrics.js';
import {DAEMON_ERRORS} from '../errors.js';
import {STREAMS_SETTINGS} from '../answer/streams_settings.js';
import {ADMISSION, type Admission} from './admission.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {ENDPOINTS, type EndpointDirectory} from './endpoint_directory.js';
import {HOST} from './host.js';
import {OWNERSHIP, type OwnerRefusal, type Ownership} from './ownership.js';
import {PEER_LINKS} from './peer_links.js';

/** A request as it comes from a caller. */
export interface StreamAsk {
  readonly id: ReadId;
  readonly request: GenerationRequest;
  /** The offset of the first token that the caller still wants. */
  readonly fromOffset: number;
  /** Whether the caller goes on with an answer it began to get. */
  readonly resuming: boolean;
  readonly resumeData: ResumeData | undefined;
  /** The text before `fromOffset`, when the caller sent it. */
  readonly receivedText: string | undefined;
}

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

/** Names of records are drawn below this; two of a request never meet. */
const NAMES = 2 ** 40;

/** Answers requests for text. */
export class Streams {
  private readonly ledger: RequestLedger<RequestRecord>;
  private readonly budget = new RetryBudget(RETRY_BUDGET);
  private running = 0;

  constructor(private readonly parts: StreamsParts) {
    this.ledger = new RequestLedger(parts.ownership.keepMs, (record) => {
      return record.state !== 'running';
    });
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
    const record = this.findRecord(ask);
    if (record.isErr()) return err(record.error);
    await this.runDriver(ask, sink, record.value);
    return ok();
  }

  private findRecord(ask: StreamAsk): Result<RequestRecord, OwnerRefusal> {
    const {request, resumeData} = ask;
    const kept = this.ledger.find(request.id);
    // What went on elsewhere is taken over anew, as if nothing were kept.
    const record = kept && isFit(kept, ask) ? kept : undefined;
    const permission = this.parts.ownership.check({
      id: ask.id,
      repeatable: request.repeatable,
      resuming: ask.resuming,
      hasResumeData: resumeData !== undefined,
      ledger: record === undefined ? undefined : toLedgerState(record),
    });
    if (permission.isErr()) return err(permission.error);
    const refusal = this.findMismatch(ask, kept, record);
    if (refusal !== undefined) return err({error: refusal});
    if (permission.value === 'join' && record !== undefined) {
      return ok(record);
    }
    if (permission.value === 'start') return this.createStart(ask, kept);
    return ok(this.createTakeOver(ask, kept));
  }

  /**
   * @param kept What is kept of the request here.
   * @param record The same, when the caller may go on with it.
   */
  private findMismatch(
    ask: StreamAsk,
    kept: RequestRecord | undefined,
    record: RequestRecord | undefined,
  ): KnownError | undefined {
    const {digest, id} = ask.request;
    const {resumeData} = ask;
    const others = [kept?.request.digest, resumeData?.digest];
    const sameBody = others.every((other) => (other ?? digest) === digest);
    const sameId = (resumeData?.request ?? id) === id;
    if (!sameBody || !sameId) return DAEMON_ERRORS.create('resume_mismatch');
    if (record === undefined) return undefined;
    if (ask.fromOffset > record.nextOffset) {
      return DAEMON_ERRORS.create('resume_mismatch');
    }
    if (ask.fromOffset >= record.firstOffset) return undefined;
    if (record.state === 'ended') {
      return DAEMON_ERRORS.create('answer_forgotten');
    }
    return DAEMON_ERRORS.create('resume_text_needed');
  }

  private createStart(
    ask: StreamAsk,
    kept: RequestRecord | undefined,
  ): Result<RequestRecord, OwnerRefusal> {
    const {request, fromOffset, receivedText} = ask;
    if (fromOffset > 0 && receivedText === undefined) {
      return err({error: DAEMON_ERRORS.create('resume_text_needed')});
    }
    const record = this.createRecord(request, fromOffset, receivedText ?? '');
    if (fromOffset === 0) return ok(record);
    // What began elsewhere is continued, at a number above what is usual.
    record.mayHaveRun = true;
    record.takeover = (kept?.takeover ?? 0) + 1;
    kept?.lock.stop();
    return ok(record);
  }

  /** @param kept What is kept of it here, and what the caller left behind. */
  private createTakeOver(
    ask: StreamAsk,
    kept: RequestRecord | undefined,
  ): RequestRecord {
    const {request, fromOffset, resumeData} = ask;
    const text = fromOffset === 0 ? '' : ask.receivedText;
    const record = this.createRecord(request, fromOffset, text);
    record.mayHaveRun = true;
    const before = getTakeover(resumeData?.generation ?? 0);
    record.takeover = Math.max(before, kept?.takeover ?? 0) + 1;
    record.endpoint = resumeData?.endpoint ?? '';
    // Its driver, should it still run, gives to a connection that was left.
    kept?.lock.stop();
    return record;
  }

  private createRecord(
    request: GenerationRequest,
    fromOffset: number,
    textBefore: string | undefined,
  ): RequestRecord {
    const {random, clock} = this.parts;
    const name = random.getInt(NAMES).toString(36);
    const record = new RequestRecord(request, name, fromOffset, textBefore);
    this.ledger.add(request.id, record, clock.getNow());
    return record;
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
    budget.addTry();
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

/** Tells whether a caller goes on from what is kept. */
function isFit(kept: RequestRecord, ask: StreamAsk): boolean {
  return isRecordFit({
    fromOffset: ask.fromOffset,
    callerRecord: ask.resumeData?.record,
    receivedText: ask.receivedText,
    ownRecord: kept.name,
    ownText: kept.getTextBefore(ask.fromOffset),
  });
}

function toLedgerState(record: RequestRecord): 'ended' | 'running' {
  return record.state === 'ended' ? 'ended' : 'running';
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
