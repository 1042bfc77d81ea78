/** Formats answers in the format of OpenAI's completions API. */

/** The fields that all chunks of an answer share. */
export interface CompletionHead {
  readonly id: string;
  readonly model: string;
  /** Seconds since 1970. */
  readonly created: number;
}

/** Replaced by a chunk's text; cannot occur in an id or a service's name. */
const TEXT_PLACEHOLDER = '\u0000';

/** Formats one answer's tokens; serializes the shared fields only once. */
export class ChunkFormat {
  private readonly before: string;
  private readonly after: string;

  constructor(private readonly head: CompletionHead) {
    const chunk = JSON.stringify(createChunk(head, TEXT_PLACEHOLDER));
    const [before, after] = chunk.split(JSON.stringify(TEXT_PLACEHOLDER));
    this.before = before ?? '';
    this.after = after ?? '';
  }

  /** Formats one token. */
  formatToken(text: string): string {
    return this.before + JSON.stringify(text) + this.after;
  }

  /** Formats one token with new resume data. */
  formatWithResume(text: string, resume: string): string {
    return JSON.stringify({
      ...createChunk(this.head, text),
      irisdock: {resume},
    });
  }
}

/** Formats the last event before `[DONE]`. */
export function formatEndChunk(
  head: CompletionHead,
  reason: string,
  count: number,
): string {
  return JSON.stringify({
    ...createBase(head),
    choices: [{index: 0, text: '', logprobs: null, finish_reason: reason}],
    usage: {completion_tokens: count},
  });
}

/** Formats an answer that is not streamed. */
export function formatCompletion(
  head: CompletionHead,
  text: string,
  reason: string,
  count: number,
): unknown {
  return {
    ...createBase(head),
    choices: [{index: 0, text, logprobs: null, finish_reason: reason}],
    usage: {completion_tokens: count},
  };
}

function createChunk(
  head: CompletionHead,
  text: string,
): Record<string, unknown> {
  return {
    ...createBase(head),
    choices: [{index: 0, text, logprobs: null, finish_reason: null}],
  };
}

function createBase(head: CompletionHead): Record<string, unknown> {
  const {id, model, created} = head;
  return {id, object: 'text_completion', created, model};
}
