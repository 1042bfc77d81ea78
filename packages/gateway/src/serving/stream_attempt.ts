/**
 * One attempt of a stream: one send to one engine, from the request to the end of
 * its events or to its loss. Only whole events leave it, each once.
 */
import type {IncomingMessage} from 'node:http';
import {EventSplitter, type ServerSentEvent} from '@irisdock/decisions';
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
import {SilenceDetector, type StreamTargets} from './silence_detector.js';

/** Where and how an attempt runs. */
export interface AttemptPlan {
  readonly endpoint: EndpointRecord;
  readonly backup: EndpointRecord | undefined;
  readonly memorySource: KvCacheSource | undefined;
}

/** What an attempt sends. */
export interface AttemptSend extends Omit<EndpointRequest, 'signal'> {
  readonly requestId: string;
}

/** How an attempt ended. */
export type AttemptResult =
  | {readonly kind: 'ended'}
  /** The caller left or its time is over. */
  | {readonly kind: 'stopped'; readonly mayHaveRun: boolean}
  /** The engine did not run it. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The engine answered with a failure of its own. */
  | {readonly kind: 'failed'; readonly answer: PlainAnswer}
  | {
      readonly kind: 'lost';
      readonly mayHaveRun: boolean;
      readonly detail: string;
    };

/** What an attempt tells while it runs. */
export interface AttemptListener {
  /** Takes the head of the answer, before the first events. */
  handleHead(status: number, lines: HeaderLines): void;
  /** Passes events on; resolves when more can be taken. */
  handleEvents(events: readonly ServerSentEvent[]): Promise<void> | undefined;
}

/** From this status on an answer to a stream is no stream. */
const NO_STREAM_STATUS = 400;

/** One attempt. */
export class StreamAttempt {
  private readonly controller = new AbortController();
  private readonly watch: SilenceDetector;
  private lostDetail: string | undefined;

  constructor(
    private readonly parts: ServingParts,
    prober: EndpointProber,
    private readonly plan: AttemptPlan,
    aims: StreamTargets,
    private readonly listener: AttemptListener,
    private readonly stop: AbortSignal,
  ) {
    const handleLost = (detail: string): void => {
      this.end(detail);
    };
    const {endpoint} = plan;
    const {clock} = parts;
    this.watch = new SilenceDetector(endpoint, prober, aims, clock, handleLost);
  }

  /** Ends the attempt as lost. */
  end(detail: string): void {
    this.lostDetail = detail;
    this.controller.abort();
  }

  /** Runs the attempt to its end; its connection is closed unless it is whole. */
  async run(send: AttemptSend): Promise<AttemptResult> {
    const signal = AbortSignal.any([this.stop, this.controller.signal]);
    this.watch.start();
    const ignoreGone = this.plan.endpoint.watchRemoval((cause) => {
      if (cause === 'restarted') this.end('its engine started anew');
    });
    try {
      const answer = await this.parts.client.send({...send, signal});
      if (answer.kind === 'lost') {
        if (this.stop.aborted) {
          return {kind: 'stopped', mayHaveRun: answer.mayHaveRun};
        }
        return {...answer, detail: this.lostDetail ?? answer.detail};
      }
      return await this.readAnswer(answer, send.requestId);
    } finally {
      this.watch.stop();
      ignoreGone();
    }
  }

  private async readAnswer(
    answer: EndpointResponse,
    requestId: string,
  ): Promise<AttemptResult> {
    const {status, metadata: terms, lines} = answer;
    const fault = findResponseFault(answer, requestId);
    if (fault !== undefined) {
      answer.close();
      return {kind: 'lost', mayHaveRun: true, detail: fault};
    }
    if (terms.load !== undefined) this.plan.endpoint.recordLoad(terms.load);
    if (status >= NO_STREAM_STATUS) return this.readFailure(answer);
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
    const reading = await readPlainAnswer(endpoints, endpoint, answer);
    const {endpointId = endpoint.endpointId} = answer.metadata;
    const isOther = endpointId !== endpoint.endpointId;
    if (reading.kind === 'refused' && isOther) {
      await successors.accept(endpoint, endpointId);
    }
    if (reading.kind !== 'whole') return reading;
    return {kind: 'failed', answer: reading.answer};
  }

  private async readEvents(answer: EndpointResponse): Promise<AttemptResult> {
    const splitter = new EventSplitter();
    await this.passEvents(answer.message, splitter);
    if (this.stop.aborted) {
      answer.close();
      return {kind: 'stopped', mayHaveRun: true};
    }
    // The end of a stream without chunks may be a crash of its engine.
    const isLost = this.lostDetail !== undefined || !answer.isFramed;
    if (isLost || !answer.isComplete() || splitter.pendingBytes > 0) {
      answer.close();
      const detail = this.lostDetail ?? 'its stream was cut';
      return {kind: 'lost', mayHaveRun: true, detail};
    }
    return {kind: 'ended'};
  }

  /**
   * Passes events on until the answer ends, whole or not. A listener in place of
   * an iteration spares two promises and an iterator's turn for each event.
   */
  private async passEvents(
    message: IncomingMessage,
    splitter: EventSplitter,
  ): Promise<void> {
    await new Promise<void>((resolve) => {
      const handleEnd = (): void => {
        resolve();
      };
      message.on('data', (chunk: Buffer) => {
        this.acceptChunk(message, splitter, chunk);
      });
      message.once('end', handleEnd);
      message.once('close', handleEnd);
    });
  }

  private acceptChunk(
    message: IncomingMessage,
    splitter: EventSplitter,
    chunk: Buffer,
  ): void {
    if (this.stop.aborted || this.lostDetail !== undefined) return;
    const events = splitter.add(chunk);
    if (events.length === 0) return;
    this.watch.recordEvents();
    const room = this.listener.handleEvents(events);
    if (room === undefined) return;
    message.pause();
    void room.then(() => message.resume());
  }
}

/** Says how an attempt ended. */
export function getAttemptDetail(result: AttemptResult): string {
  if (result.kind === 'ended') return '';
  if (result.kind === 'stopped') return 'the time was over';
  if (result.kind === 'failed') return `status ${result.answer.status}`;
  return result.detail;
}

/** Whether the engine may have run what the attempt asked for. */
export function hasPossiblyRun(result: AttemptResult): boolean {
  if (result.kind === 'refused') return false;
  if (result.kind === 'lost' || result.kind === 'stopped') {
    return result.mayHaveRun;
  }
  return true;
}
