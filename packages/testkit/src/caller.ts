/**
 * A caller as a test plays it: streams one answer, and goes on elsewhere from
 * its last offset when its connection breaks.
 */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';

/** What is asked for. */
export interface CompletionAsk {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly team: string;
  readonly requestId?: string;
  readonly repeatable?: boolean;
  readonly headers?: Readonly<Record<string, string>>;
  readonly extra?: Readonly<Record<string, unknown>>;
}

/** What arrived, over all connections. */
export interface CallerState {
  text: string;
  /** Ids in the order in which they arrived. */
  readonly ids: number[];
  /** When each token arrived, in milliseconds of the wall clock. */
  readonly times: number[];
  requestId: string;
  resume: string;
  done: boolean;
  finish: string;
  status: number;
  /** The error that ended it, as JSON text. */
  error: string;
  location: string;
  retryAfter: string;
  /** Connections so far; what comes on an older one is not read. */
  connections: number;
}

/** A hook on each token; returns true to cut the connection. */
export type OnToken = (state: CallerState) => boolean | undefined;

/** Creates the state of a caller that got nothing yet. */
export function createCallerState(): CallerState {
  return {
    text: '',
    ids: [],
    times: [],
    requestId: '',
    resume: '',
    done: false,
    finish: '',
    status: 0,
    error: '',
    location: '',
    retryAfter: '',
    connections: 0,
  };
}

interface Chunk {
  readonly choices?: readonly {text: string; finish_reason: string | null}[];
  readonly irisdock?: {resume: string};
  readonly error?: unknown;
}

/** Streams an answer over one connection; adds to the state. */
export async function streamOnce(
  address: string,
  ask: CompletionAsk,
  state: CallerState,
  onToken?: OnToken,
): Promise<void> {
  const controller = new AbortController();
  state.error = '';
  state.status = 0;
  const connection = ++state.connections;
  try {
    const answer = await request(`http://${address}/v1/completions`, {
      method: 'POST',
      headers: createHeaders(ask, state),
      body: createBody(ask, state),
      signal: controller.signal,
      headersTimeout: 60_000,
      bodyTimeout: 60_000,
    });
    if (state.connections !== connection) {
      controller.abort();
      return;
    }
    const {headers} = answer;
    state.status = answer.statusCode;
    state.requestId = String(headers['x-request-id'] ?? state.requestId);
    state.resume = String(headers['x-irisdock-resume'] ?? state.resume);
    state.location = String(headers['location'] ?? '');
    state.retryAfter = String(headers['retry-after'] ?? '');
    if (answer.statusCode !== 200) {
      state.error = await answer.body.text();
      return;
    }
    const parser = createParser({
      onEvent: ({id, data}) => {
        if (state.connections !== connection) {
          controller.abort();
          return;
        }
        if (applyEvent(state, id, data) && onToken?.(state) === true) {
          controller.abort();
        }
      },
    });
    const decoder = new TextDecoder();
    for await (const part of answer.body as AsyncIterable<Buffer>) {
      parser.feed(decoder.decode(part, {stream: true}));
    }
  } catch (thrown) {
    if (state.connections !== connection) return;
    state.error = thrown instanceof Error ? thrown.message : String(thrown);
  }
}

/** Streams an answer to its end, on one address after the other. */
export async function streamWhole(
  addresses: readonly string[],
  ask: CompletionAsk,
  onToken?: OnToken,
): Promise<CallerState> {
  const state = createCallerState();
  for (const address of addresses) {
    await streamOnce(address, ask, state, onToken);
    if (state.done) return state;
  }
  return state;
}

function createHeaders(
  ask: CompletionAsk,
  state: CallerState,
): Record<string, string> {
  const id = state.requestId || ask.requestId;
  const last = state.ids.at(-1);
  return {
    'content-type': 'application/json',
    'x-irisdock-team': ask.team,
    ...(id === undefined ? {} : {'x-request-id': id}),
    ...(last === undefined ? {} : {'last-event-id': String(last)}),
    ...(state.resume === '' ? {} : {'x-irisdock-resume': state.resume}),
    ...(ask.repeatable === undefined
      ? {}
      : {'x-irisdock-repeatable': String(ask.repeatable)}),
    ...ask.headers,
  };
}

function createBody(ask: CompletionAsk, state: CallerState): string {
  const {model, prompt, maxTokens} = ask;
  return JSON.stringify({
    model,
    prompt,
    max_tokens: maxTokens,
    stream: true,
    ...(state.text === '' ? {} : {irisdock_received_text: state.text}),
    ...ask.extra,
  });
}

/** Adds an event to the state; true when it was a token. */
function applyEvent(
  state: CallerState,
  id: string | undefined,
  data: string,
): boolean {
  if (data === '[DONE]') {
    state.done = true;
    return false;
  }
  const chunk = JSON.parse(data) as Chunk;
  if (chunk.error !== undefined) state.error = data;
  if (chunk.irisdock !== undefined) state.resume = chunk.irisdock.resume;
  const choice = chunk.choices?.[0];
  if (choice === undefined) return false;
  if (choice.finish_reason !== null) state.finish = choice.finish_reason;
  if (id === undefined) return false;
  state.text += choice.text;
  state.ids.push(Number(id));
  state.times.push(Date.now());
  return true;
}
