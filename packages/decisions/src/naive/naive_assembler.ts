/** The naive way to assemble: pass on whatever comes until the first end. */
import type {
  GenerationEnd,
  Token,
  AssemblyDecision,
} from '../answer_assembler.js';

/** Believes every token and every end. */
export class NaiveAssembler {
  acceptToken(token: Token): AssemblyDecision {
    return {action: 'pass', offset: token.offset, text: token.text};
  }

  acceptEnd(end: GenerationEnd): AssemblyDecision {
    return {action: 'end', reason: end.reason};
  }
}
