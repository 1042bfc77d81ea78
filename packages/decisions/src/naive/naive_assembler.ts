/**
 * Baseline that `AnswerAssembler` is compared with: passes on every token until
 * the first end.
 */
import type {
  GenerationEnd,
  Token,
  AssemblyDecision,
} from '../answer_assembler.js';

/** Passes on every token and accepts every end. */
export class NaiveAssembler {
  acceptToken(token: Token): AssemblyDecision {
    return {action: 'pass', offset: token.offset, text: token.text};
  }

  acceptEnd(end: GenerationEnd): AssemblyDecision {
    return {action: 'end', reason: end.reason};
  }
}
