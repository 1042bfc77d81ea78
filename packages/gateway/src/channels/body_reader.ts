/**
 * Reads bodies of responses, which may have no end. Both a body that is needed
 * and one that is not are read up to a bound; then the connection is closed,
 * since reading on would serve nobody.
 */
import type {IncomingMessage} from 'node:http';
import {
  BUFFER_COLLECTION,
  ByteCollector,
  type BufferBudget,
  type ResponseWatch,
} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';

/** The longest body in bytes; no caller needs a longer answer. */
export const MAX_BODY_BYTES = 8_388_608;
/**
 * The most bytes of a body that is not needed. Such a body says in some words
 * why there is no answer; reading it saves a new connection.
 */
const MAX_DROPPED_BYTES = 65_536;
/** How long to wait for its end, in ms; it mostly arrives with its head. */
const MAX_DROP_MS = 100;

/** What became of a body that was not needed. */
export type DropResult =
  /** It ended; the connection may be used again. */
  | 'ended'
  /** It did not end in time; the connection was closed. */
  | 'late'
  /** It was too long; the connection was closed. */
  | 'too-long';

/**
 * Reads a whole body; an error says why there is none, and the connection is
 * closed then. The end of a body without framing proves nothing; that is for
 * the caller to check.
 */
export async function readBody(
  message: IncomingMessage,
  watch: ResponseWatch,
  buffers: BufferBudget,
  maxBytes = MAX_BODY_BYTES,
): Promise<Result<Buffer, string>> {
  return new Promise((resolve) => {
    const collector = new ByteCollector(maxBytes);
    const finish = (result: Result<Buffer, string>): void => {
      message.removeListener('data', accept);
      hold.close();
      resolve(result);
      if (result.isOk()) return;
      BUFFER_COLLECTION.recordDropped(collector.capacity);
      message.destroy();
    };
    const hold = buffers.open(() => {
      finish(err('its body is the longest of too many'));
    });
    const accept = (part: Buffer): void => {
      watch.recordPart(part);
      if (collector.length + part.length > maxBytes) {
        finish(err('its body is too long'));
        return;
      }
      const {capacity} = collector;
      collector.add(part);
      if (collector.capacity === capacity) return;
      // The block that was replaced.
      BUFFER_COLLECTION.recordRead(capacity);
      hold.set(collector.capacity);
    };
    const handleCut = (): void => {
      finish(err(watch.fault ?? 'its body was cut'));
    };
    message.on('data', accept);
    message.once('end', () => {
      finish(ok(collector.getBytes()));
    });
    message.once('error', handleCut);
    message.once('close', handleCut);
    if (message.destroyed) handleCut();
  });
}

/** Reads a body that is not needed to its end, if that is near. */
export async function dropBody(
  message: IncomingMessage,
  watch: ResponseWatch,
): Promise<DropResult> {
  return new Promise((resolve) => {
    let bytes = 0;
    const finish = (result: DropResult): void => {
      clearTimeout(timer);
      message.removeListener('data', count);
      resolve(result);
      if (result !== 'ended') message.destroy();
    };
    const timer = setTimeout(() => {
      finish('late');
    }, MAX_DROP_MS);
    const count = (part: Buffer): void => {
      watch.recordPart(part);
      bytes += part.length;
      if (bytes > MAX_DROPPED_BYTES) finish('too-long');
    };
    const handleEnd = (): void => {
      finish('ended');
    };
    message.on('data', count);
    message.once('end', handleEnd);
    message.once('error', handleEnd);
    message.once('close', handleEnd);
    if (message.destroyed) handleEnd();
  });
}
