/** Streams an answer as server-sent events whose ids are token offsets. */
import type {ServerResponse} from 'node:http';
import type {KnownError} from '@irisdock/kernel';
import {formatError, formatEvent, sendError, startEvents} from '@irisdock/web';
import type {AnswerEnd, AnswerSink, AnswerToken} from './answer_sink.js';
import {createCallerSignal} from './caller_signal.js';
import {
  ChunkFormat,
  formatEndChunk,
  type CompletionHead,
} from './completion_format.js';
import {REQUEST_ID_HEADER, RESUME_HEADER} from '../caller/headers.js';

/** The sink for a caller that reads an event stream. */
export class EventSink implements AnswerSink {
  readonly signal: AbortSignal;
  private readonly format: ChunkFormat;
  private pendingResume: string | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly head: CompletionHead,
  ) {
    this.signal = createCallerSignal(response);
    this.format = new ChunkFormat(head);
  }

  setResume(resumeData: string): void {
    this.pendingResume = resumeData;
    if (this.response.headersSent) return;
    startEvents(this.response, {
      [REQUEST_ID_HEADER]: this.head.id,
      [RESUME_HEADER]: resumeData,
    });
  }

  write(tokens: readonly AnswerToken[]): Promise<void> | undefined {
    let events = '';
    for (const {offset, text} of tokens) {
      const data = this.formatToken(text);
      events += formatEvent({id: offset, data});
    }
    if (this.response.write(events) || this.signal.aborted) return undefined;
    return this.waitDrained();
  }

  private async waitDrained(): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        this.response.off('drain', finish);
        this.signal.removeEventListener('abort', finish);
        resolve();
      };
      this.response.on('drain', finish);
      this.signal.addEventListener('abort', finish);
    });
  }

  end(end: AnswerEnd): void {
    const data = formatEndChunk(this.head, end.reason, end.count);
    this.response.end(formatEvent({data}) + formatEvent({data: '[DONE]'}));
  }

  fail(error: KnownError): void {
    if (!this.response.headersSent) {
      const {id} = this.head;
      sendError(this.response, error, {[REQUEST_ID_HEADER]: id});
      return;
    }
    const data = JSON.stringify({error: formatError(error)});
    this.response.end(formatEvent({event: 'error', data}));
  }

  private formatToken(text: string): string {
    const {pendingResume} = this;
    if (pendingResume === undefined) return this.format.formatToken(text);
    this.pendingResume = undefined;
    return this.format.formatWithResume(text, pendingResume);
  }
}
