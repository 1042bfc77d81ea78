/** Where an answer's tokens go: to a caller's stream or into one body. */
import type {KnownError} from '@irisdock/kernel';

/** A token on its way to the caller. */
export interface AnswerToken {
  readonly offset: number;
  readonly text: string;
}

/** How an answer ended. */
export interface AnswerEnd {
  readonly reason: string;
  /** Tokens of the whole answer. */
  readonly count: number;
}

/** Takes one answer. */
export interface AnswerSink {
  /** Aborted when the caller's connection is gone. */
  readonly signal: AbortSignal;
  /** Tells where the answer can be taken up again from now on. */
  setResume(resumeData: string): void;
  /**
   * Passes tokens on. Gives undefined when the caller can take more at once,
   * else what resolves when it can.
   */
  write(tokens: readonly AnswerToken[]): Promise<void> | undefined;
  /** Ends a whole answer. */
  end(end: AnswerEnd): void;
  /** Ends an answer that cannot be made whole here. */
  fail(error: KnownError): void;
}
