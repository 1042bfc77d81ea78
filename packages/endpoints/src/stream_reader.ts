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

/**
 * The most bytes that may arrive without completing an event. An event carries
 * a token; between events there may be comments that keep a connection alive.
 */
const MAX_EVENTLESS_BYTES = 1_048_576;

/**
 * Gives the events of a body, those that arrived together in one batch. Throws
 * if too many bytes bring no event.
 */
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
  let eventlessBytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    eventlessBytes += chunk.length;
    if (eventlessBytes > MAX_EVENTLESS_BYTES) {
      throw new Error('its stream brings no events');
    }
    parser.feed(decoder.decode(chunk, {stream: true}));
    if (batch.length === 0) continue;
    eventlessBytes = 0;
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
