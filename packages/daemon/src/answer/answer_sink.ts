/** The output of an answer: an event stream or a single response body. */
import type {KnownError} from '@irisdock/kernel';

/** A token to be sent to the caller. */
export interface AnswerToken {
  readonly offset: number;
  readonly text: string;
}

/** How an answer ended. */
export interface AnswerEnd {
  readonly reason: string;
  /** The number of tokens in the whole answer. */
  readonly count: number;
}

/** Receives one answer and sends it to the caller. */
export interface AnswerSink {
  /** Aborted when the caller's connection closes early. */
  readonly signal: AbortSignal;
  /** Sets the data with which the caller can resume the answer from now on. */
  setResume(resumeData: string): void;
  /**
   * Sends tokens. Returns undefined when the caller can take more at once,
   * otherwise a promise that resolves when it can.
   */
  write(tokens: readonly AnswerToken[]): Promise<void> | undefined;
  /** Completes the answer. */
  end(end: AnswerEnd): void;
  /** Ends an answer that cannot be completed here with an error. */
  fail(error: KnownError): void;
}
