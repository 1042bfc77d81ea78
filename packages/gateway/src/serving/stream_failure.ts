/** Ends a stream that could not be finished: chooses the error and logs it. */
import type {KnownError} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest, PlainAnswer} from './caller_exchange.js';
import {decideEngineLack, type EngineLack} from './engine_lack.js';
import {listStreamEngines} from './live_endpoints.js';
import {decideRetryAfter} from './retry_after.js';
import type {SendHolds} from './send_holds.js';
import {
  createBusyError,
  createNotRunError,
  createRefusedError,
  createTimeError,
} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import type {RetryDenial, StreamRetries} from './stream_retries.js';
import type {StreamSink} from './stream_sink.js';
import type {VersionDoubt} from './stream_version.js';
import type {VersionBinding} from './version_binding.js';

/** Ends one stream as failed. */
export class StreamFailure {
  /** The last failure of an engine that the caller may get as its answer. */
  lastAnswer: PlainAnswer | undefined;
  /** How the last attempt ended; empty before the first. */
  detail = '';
  /** Why the stream is not retried; undefined if no engine was found. */
  denial: RetryDenial | undefined;
  /** Why the stream is refused before anything was sent. */
  refusal: KnownError | undefined;
  /** Why the software version that began the stream is not known. */
  versionDoubt: VersionDoubt | undefined;
  /** Why the stream's version has no engine. */
  private lack: EngineLack | undefined;

  constructor(
    private readonly parts: ServingParts,
    private readonly request: AdmittedRequest,
    private readonly route: ServingRoute,
    private readonly service: string,
    private readonly sink: StreamSink,
    private readonly retries: StreamRetries,
    private readonly holds: SendHolds,
    private readonly binding: VersionBinding,
  ) {}

  /** Ends a stream whose time is over; returns its outcome. */
  finishExpired(): string {
    if (this.trySendLastAnswer()) return 'failed';
    const {parts, route, service} = this;
    this.denial = 'time_spent';
    const {mayHaveRun} = this.retries;
    this.finishWith(
      createTimeError(this.request, route, service, mayHaveRun, parts.random),
    );
    return 'expired';
  }

  /** Ends a stream that gets no further attempt; returns its outcome. */
  finishLost(): string {
    if (this.trySendLastAnswer()) return 'failed';
    const {mayHaveRun} = this.retries;
    this.finishWith(this.createLossError());
    return mayHaveRun ? 'lost' : 'refused';
  }

  /** An answer of an engine goes before errors of this host. */
  private trySendLastAnswer(): boolean {
    if (this.sink.isStarted || this.lastAnswer === undefined) return false;
    this.request.exchange.sendAnswer(this.lastAnswer);
    return true;
  }

  private createLossError(): KnownError {
    const {mayHaveRun, isRefused} = this.retries;
    const {parts, service, detail} = this;
    const {content} = this.request;
    if (isRefused) return createRefusedError(content, mayHaveRun);
    if (this.refusal !== undefined) return this.refusal;
    if (mayHaveRun) return GATEWAY_ERRORS.create('stream_lost', {detail});
    if (this.denial === 'content_busy') {
      return createBusyError(content, parts.random);
    }
    if (parts.paths.isPartitioned(service)) {
      return createNotRunError('endpoints_unreachable', service, parts.random);
    }
    return this.createVersionError() ?? this.holds.createError(service);
  }

  /** Creates the error for a stream whose version has no engine. */
  private createVersionError(): KnownError | undefined {
    const {parts, service, binding} = this;
    const retryAfter = decideRetryAfter(parts.random);
    const {versionRefusals} = parts.metrics;
    if (this.versionDoubt !== undefined) {
      versionRefusals.inc({reason: this.versionDoubt});
      return GATEWAY_ERRORS.create('origin_unknown', {service}, retryAfter);
    }
    if (binding.origin === undefined) return undefined;
    const {version} = binding.origin;
    if (listStreamEngines(parts, service, binding.origin).length > 0) {
      return undefined;
    }
    this.lack = decideEngineLack(parts.endpoints.listAll(), binding.origin);
    versionRefusals.inc({reason: this.lack});
    const fields = {service, version};
    return GATEWAY_ERRORS.create('version_unavailable', fields, retryAfter);
  }

  private finishWith(error: KnownError): void {
    const {parts, request, retries} = this;
    const {content} = request;
    const reason = this.denial ?? 'no_engine';
    if (this.sink.isStarted) parts.metrics.cutStreams.inc({reason});
    this.sink.fail(error);
    parts.log.writeInfo('A stream was not finished.', {
      request: request.requestId,
      service: this.service,
      kind: error.kind,
      started: this.sink.isStarted,
      runs: retries.runs,
      notRun: retries.notRun,
      detail: this.detail,
      bar: reason,
      lack: this.lack,
      crashes: parts.crashes.countCrashes(content),
      content,
      ...this.holds.listFields(),
    });
  }
}
