/** Reads an engine's server-sent events into stream events, in batches. */
import type {Readable} from 'node:stream';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import * as z from 'zod';
import type {StreamEvent} from './engine.js';

const TOKEN_SCHEMA = z.object({
  request: z.string(),
  generation: z.number(),
  offset: z.number(),
  text: z.string(),
});
const END_SCHEMA = z.object({
  request: z.string(),
  generation: z.number(),
  count: z.number(),
  reason: z.string(),
});

/** Gives the events of a body, those that arrived together in one batch. */
export async function* readStream(
  body: Readable,
): AsyncGenerator<readonly StreamEvent[]> {
  let batch: StreamEvent[] = [];
  const parser = createParser({
    onEvent: (message) => {
      const event = readEvent(message);
      if (event !== undefined) batch.push(event);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(chunk, {stream: true}));
    if (batch.length === 0) continue;
    yield batch;
    batch = [];
  }
}

function readEvent(message: EventSourceMessage): StreamEvent | undefined {
  if (message.event === 'superseded') return {type: 'superseded'};
  if (message.event === 'end') {
    return {type: 'end', ...END_SCHEMA.parse(JSON.parse(message.data))};
  }
  if (message.event !== 'token') return undefined;
  return {type: 'token', ...TOKEN_SCHEMA.parse(JSON.parse(message.data))};
}
