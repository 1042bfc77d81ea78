/** Collects an answer and sends it in one response body. */
import type {ServerResponse} from 'node:http';
import type {KnownError} from '@irisdock/kernel';
import {sendError, sendJson} from '@irisdock/web';
import type {AnswerEnd, AnswerSink, AnswerToken} from './answer_sink.js';
import {createCallerSignal} from './caller_signal.js';
import {formatCompletion, type CompletionHead} from './completion_format.js';
import {REQUEST_ID_HEADER, RESUME_HEADER} from '../caller/headers.js';

/** The sink for a caller that waits for the whole answer. */
export class BodySink implements AnswerSink {
  readonly signal: AbortSignal;
  private readonly texts: string[] = [];
  private resume = '';

  constructor(
    private readonly response: ServerResponse,
    private readonly head: CompletionHead,
  ) {
    this.signal = createCallerSignal(response);
  }

  setResume(resumeData: string): void {
    this.resume = resumeData;
  }

  write(tokens: readonly AnswerToken[]): undefined {
    for (const {text} of tokens) this.texts.push(text);
    return undefined;
  }

  end(end: AnswerEnd): void {
    const {reason, count} = end;
    const text = this.texts.join('');
    const body = formatCompletion(this.head, text, reason, count);
    sendJson(this.response, 200, body, {
      [REQUEST_ID_HEADER]: this.head.id,
      [RESUME_HEADER]: this.resume,
    });
  }

  fail(error: KnownError): void {
    const {id} = this.head;
    sendError(this.response, error, {[REQUEST_ID_HEADER]: id});
  }
}
