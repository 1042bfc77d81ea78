/** Reads bodies of messages as text up to a bound, as they may have no end. */
import {ByteCollector} from './byte_collector.js';

/** A body as HTTP clients give it; it is destroyed when reading it stops. */
export type BodyParts = AsyncIterable<Buffer>;

/** Reads a whole body; throws if it is longer than a bound. */
export async function readBoundedText(
  body: BodyParts,
  maxBytes: number,
): Promise<string> {
  const collector = new ByteCollector(maxBytes);
  for await (const part of body) {
    if (collector.length + part.length > maxBytes) {
      throw new Error(`its body is longer than ${maxBytes} bytes`);
    }
    collector.add(part);
  }
  return collector.getBytes().toString();
}
