/**
 * One attempt of a stream: one request to one engine, until its events end or
 * the attempt is lost. Only complete events are passed on, each once.
 */
import type {IncomingMessage} from 'node:http';
import {EventSplitter, type ServerSentEvent} from '@irisdock/decisions';
import type {BufferHold, ResponseWatch} from '@irisdock/kernel';
import {findResponseFault} from '../channels/response_check.js';
import type {
  EndpointResponse,
  EndpointRequest,
} from '../channels/endpoint_client.js';
import type {HeaderLines, KvCacheSource} from '../model/request_metadata.js';
import {readPlainAnswer} from './plain_answer_reader.js';
import type {PlainAnswer} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {ServingParts} from './serving_parts.js';
import {
  SilenceDetector,
  type Silence,
  type StreamTargets,
} from './silence_detector.js';

/** The engine of an attempt, its standby, and the source of its KV cache. */
export interface AttemptPlan {
  readonly endpoint: EndpointRecord;
  readonly backup: EndpointRecord | undefined;
  readonly kvCacheSource: KvCacheSource | undefined;
}

/** The request that an attempt sends. */
export interface AttemptSend extends Omit<EndpointRequest, 'signal'> {
  readonly requestId: string;
}

/** The result of an attempt. */
export type AttemptResult =
  | {readonly kind: 'ended'}
  /** The caller disconnected, or the time limit of the request expired. */
  | {readonly kind: 'stopped'; readonly mayHaveRun: boolean}
  /** The engine did not run the request. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The engine answered with an error status. */
  | {readonly kind: 'failed'; readonly answer: PlainAnswer}
  | {
      readonly kind: 'lost';
      readonly mayHaveRun: boolean;
      readonly detail: string;
      /** The silence of its engine for which this host left it. */
      readonly silence?: Silence | undefined;
    };

/** Receives the answer of an attempt while it runs. */
export interface AttemptListener {
  /** Receives status and headers, before the first events. */
  handleHead(status: number, lines: HeaderLines): void;
  /** Receives events; returns a promise if it needs time before the next. */
  handleEvents(events: readonly ServerSentEvent[]): Promise<void> | undefined;
  /** The engine is silent. The attempt runs on unless it is left. */
  handleSuspected(silence: Silence): void;
  /** The engine goes on after a silence of this time, in ms. */
  handleRecovered(silentMs: number): void;
}

/** An answer with this status or a higher one is an error, not a stream. */
const MIN_FAILURE_STATUS = 400;

/**
 * The longest event in bytes. An event carries a piece of a text, mostly some
 * words; one that is longer is not expected to end.
 */
const MAX_EVENT_BYTES = 1_048_576;

/** Runs one attempt of a stream. */
export class StreamAttempt {
  private readonly controller = new AbortController();
  private readonly detector: SilenceDetector;
  private lostDetail: string | undefined;
  private silence: Silence | undefined;

  constructor(
    private readonly parts: ServingParts,
    prober: EndpointProber,
    private readonly plan: AttemptPlan,
    targets: StreamTargets,
    private readonly listener: AttemptListener,
    private readonly stopSignal: AbortSignal,
  ) {
    const {endpoint} = plan;
    const {clock} = parts;
    this.detector = new SilenceDetector(endpoint, prober, targets, clock, {
      handleSuspected: (silence) => {
        listener.handleSuspected(silence);
      },
      handleRecovered: (silentMs) => {
        listener.handleRecovered(silentMs);
      },
    });
  }

  /** Ends the attempt as lost. */
  end(detail: string): void {
    this.lostDetail = detail;
    this.controller.abort();
  }

  /** Leaves a silent engine, which may be sound, for another one. */
  endSilent(silence: Silence): void {
    this.silence = silence;
    this.end(silence.detail);
  }

  /** Runs the attempt; closes its connection unless the answer is complete. */
  async run(send: AttemptSend): Promise<AttemptResult> {
    const signal = AbortSignal.any([this.stopSignal, this.controller.signal]);
    this.detector.start();
    const stopWatching = this.plan.endpoint.watchRemoval((cause) => {
      if (cause === 'restarted') this.end('its engine started anew');
    });
    try {
      const answer = await this.parts.client.send({...send, signal});
      if (answer.kind === 'lost') {
        if (this.stopSignal.aborted) {
          return {kind: 'stopped', mayHaveRun: answer.mayHaveRun};
        }
        const {lostDetail: detail = answer.detail, silence} = this;
        return {...answer, detail, silence};
      }
      return await this.readAnswer(answer, send.requestId);
    } finally {
      this.detector.stop();
      stopWatching();
    }
  }

  private async readAnswer(
    answer: EndpointResponse,
    requestId: string,
  ): Promise<AttemptResult> {
    const {status, metadata, lines} = answer;
    const fault = findResponseFault(answer, requestId);
    if (fault !== undefined) {
      answer.close();
      return {kind: 'lost', mayHaveRun: true, detail: fault};
    }
    if (metadata.load !== undefined) {
      this.plan.endpoint.recordLoad(metadata.load);
    }
    if (status >= MIN_FAILURE_STATUS) return this.readFailure(answer);
    if (!answer.isEventStream) {
      answer.close();
      return {kind: 'lost', mayHaveRun: true, detail: 'it is no event stream'};
    }
    this.listener.handleHead(status, lines);
    return this.readEvents(answer);
  }

  private async readFailure(answer: EndpointResponse): Promise<AttemptResult> {
    const {endpoint} = this.plan;
    const {endpoints, successors} = this.parts;
    const result = await readPlainAnswer(endpoints, endpoint, answer);
    const {endpointId = endpoint.endpointId} = answer.metadata;
    const isDifferentEndpoint = endpointId !== endpoint.endpointId;
    if (result.kind === 'refused' && isDifferentEndpoint) {
      await successors.accept(endpoint, endpointId);
    }
    if (result.kind !== 'whole') return result;
    return {kind: 'failed', answer: result.answer};
  }

  private async readEvents(answer: EndpointResponse): Promise<AttemptResult> {
    const splitter = new EventSplitter();
    const hold = answer.openHold(() => {
      this.end('its event is the longest of too many');
    });
    await this.passEvents(answer, splitter, hold);
    hold.close();
    if (this.stopSignal.aborted) {
      answer.close();
      return {kind: 'stopped', mayHaveRun: true};
    }
    // Without chunked framing, an end of stream may be a crash of the engine.
    const isLost = this.lostDetail !== undefined || !answer.isFramed;
    if (isLost || !answer.isComplete() || splitter.pendingBytes > 0) {
      answer.close();
      const {fault = 'its stream was cut'} = answer.watch;
      const {lostDetail: detail = fault, silence} = this;
      return {kind: 'lost', mayHaveRun: true, detail, silence};
    }
    return {kind: 'ended'};
  }

  /**
   * Passes events on until the answer ends, complete or not. Listening for data
   * saves the two promises and the iterator step that async iteration costs for
   * each event.
   */
  private async passEvents(
    {message, watch}: EndpointResponse,
    splitter: EventSplitter,
    hold: BufferHold,
  ): Promise<void> {
    await new Promise<void>((resolve) => {
      const handleEnd = (): void => {
        resolve();
      };
      message.on('data', (chunk: Buffer) => {
        watch.recordPart(chunk);
        this.acceptChunk(message, watch, splitter, chunk);
        this.checkPending(splitter, hold);
      });
      message.once('end', handleEnd);
      message.once('close', handleEnd);
    });
  }

  private acceptChunk(
    message: IncomingMessage,
    watch: ResponseWatch,
    splitter: EventSplitter,
    chunk: Buffer,
  ): void {
    if (this.stopSignal.aborted || this.lostDetail !== undefined) return;
    const events = splitter.add(chunk);
    if (events.length === 0) return;
    recordEvents(watch, events);
    this.detector.recordEvents();
    const drained = this.listener.handleEvents(events);
    if (drained === undefined) return;
    message.pause();
    this.detector.pause();
    void drained.then(() => {
      this.detector.resume();
      message.resume();
    });
  }

  private checkPending(splitter: EventSplitter, hold: BufferHold): void {
    hold.set(splitter.pendingCapacity);
    if (splitter.pendingBytes <= MAX_EVENT_BYTES) return;
    this.end('an event of its stream is too long');
  }
}

function recordEvents(
  watch: ResponseWatch,
  events: readonly ServerSentEvent[],
): void {
  watch.recordEvents(events.length);
  for (const {isEmpty, bytes} of events) {
    if (isEmpty) watch.recordEmptyEvent(bytes);
  }
}

/** Describes the end of an attempt, for logs and error messages. */
export function getAttemptDetail(result: AttemptResult): string {
  if (result.kind === 'ended') return '';
  if (result.kind === 'stopped') return 'the time was over';
  if (result.kind === 'failed') return `status ${result.answer.status}`;
  return result.detail;
}

/** Whether the engine may have run the request. */
export function hasPossiblyRun(result: AttemptResult): boolean {
  if (result.kind === 'refused') return false;
  if (result.kind === 'lost' || result.kind === 'stopped') {
    return result.mayHaveRun;
  }
  return true;
}
