/** Answers in the OpenAI shape. */

/** What all parts of an answer say. */
export interface CompletionHead {
  readonly id: string;
  readonly model: string;
  /** Seconds since 1970. */
  readonly created: number;
}

/** Formats one token of a stream; `resume` is new resume data, if any. */
export function formatChunk(
  head: CompletionHead,
  text: string,
  resume: string | undefined,
): string {
  return JSON.stringify({
    ...createBase(head),
    choices: [{index: 0, text, logprobs: null, finish_reason: null}],
    ...(resume === undefined ? {} : {irisdock: {resume}}),
  });
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
export function formatWhole(
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

function createBase(head: CompletionHead): Record<string, unknown> {
  const {id, model, created} = head;
  return {id, object: 'text_completion', created, model};
}
