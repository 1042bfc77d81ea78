/**
 * The naive way that the benches compare with: a caller connected to an
 * engine directly, that starts the whole answer over on another engine when
 * the connection breaks or is silent for a fixed time.
 */
import type {EndpointNode} from '@irisdock/testkit';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';

/** What a naive caller went through. */
export interface NaiveRun {
  /** When each new offset first arrived, in ms of the wall clock. */
  readonly times: number[];
  /** Tokens that arrived again after a start over. */
  redone: number;
  orders: number;
}

const SILENCE_MS = 3000;
const MAX_ORDERS = 20;

/** Asks engines in turn until the answer is whole. */
export async function runNaiveCaller(
  engines: readonly EndpointNode[],
  first: number,
  model: string,
  prompt: string,
  tokens: number,
  onToken: (engine: EndpointNode, count: number) => void,
): Promise<NaiveRun> {
  const run: NaiveRun = {times: [], redone: 0, orders: 0};
  const id = `naive-${first}-${Math.random()}`;
  for (let at = first; run.orders < MAX_ORDERS; at++) {
    const engine = engines[at % engines.length];
    if (engine === undefined || engine.process.isExited) continue;
    run.orders++;
    const body = createOrder(`${id}-${at}`, model, prompt, tokens);
    const isWhole = await readOnce(engine, body, run, onToken);
    if (isWhole) return run;
  }
  return run;
}

function createOrder(
  id: string,
  model: string,
  prompt: string,
  maxTokens: number,
): string {
  const mode = 'start';
  const base = {mode, request: id, generation: 1, offset: 0};
  return JSON.stringify({...base, prompt, maxTokens, model});
}

async function readOnce(
  engine: EndpointNode,
  body: string,
  run: NaiveRun,
  onToken: (engine: EndpointNode, count: number) => void,
): Promise<boolean> {
  let isWhole = false;
  const parser = createParser({
    onEvent: ({event, data}) => {
      if (event === 'end') isWhole = true;
      if (event !== 'token') return;
      const {offset} = JSON.parse(data) as {offset: number};
      if (offset < run.times.length) run.redone++;
      else run.times.push(Date.now());
      onToken(engine, run.times.length);
    },
  });
  try {
    const answer = await request(`http://${engine.address}/v1/streams`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body,
      headersTimeout: SILENCE_MS,
      bodyTimeout: SILENCE_MS,
    });
    const decoder = new TextDecoder();
    for await (const part of answer.body as AsyncIterable<Buffer>) {
      parser.feed(decoder.decode(part, {stream: true}));
    }
  } catch {
    // A broken or silent connection: the caller starts over.
  }
  return isWhole;
}
