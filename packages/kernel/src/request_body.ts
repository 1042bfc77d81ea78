/** Reads the whole body of a request into memory. */
import type {IncomingMessage} from 'node:http';
import {ByteCollector} from './byte_collector.js';

/** Matches the expectation among those of a request. */
const CONTINUE_EXPECTATION = /(?:^|\W)100-continue(?:$|\W)/iu;

/** Why a body could not be read. */
export type BodyFault = 'aborted' | 'cut' | 'too-large';

/** Whether a body is known to be larger than this before it arrives. */
export function isLargerThan(
  message: IncomingMessage,
  maxBytes: number,
): boolean {
  return getDeclaredBytes(message) > maxBytes;
}

/** Whether the caller sends the body only once it is asked to go on. */
export function isContinueExpected(message: IncomingMessage): boolean {
  const {headers, httpVersion} = message;
  if (httpVersion === '1.0') return false;
  return CONTINUE_EXPECTATION.test(headers.expect ?? '');
}

/**
 * Reads a body up to a size. What has arrived of one that can't be read is not
 * kept, and the rest is left in the message.
 */
export async function readRequestBody(
  message: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Buffer | BodyFault> {
  if (message.destroyed) return 'cut';
  if (signal.aborted) return 'aborted';
  return new Promise((resolve) => {
    const collector = createCollector(message, maxBytes);
    const finish = (result: Buffer | BodyFault): void => {
      message.off('data', add).off('end', finishWhole).off('close', finishCut);
      signal.removeEventListener('abort', finishAborted);
      resolve(result);
    };
    const stop = (fault: BodyFault): void => {
      message.pause();
      collector.drop();
      finish(fault);
    };
    const add = (part: Buffer): void => {
      if (collector.length + part.length > maxBytes) stop('too-large');
      else collector.add(part);
    };
    const finishWhole = (): void => {
      finish(collector.getBytes());
    };
    const finishAborted = (): void => {
      stop('aborted');
    };
    const finishCut = (): void => {
      finish('cut');
    };
    signal.addEventListener('abort', finishAborted);
    message.on('data', add).once('end', finishWhole).once('close', finishCut);
  });
}

/** Creates a collector that takes no more memory than the body may need. */
function createCollector(
  message: IncomingMessage,
  maxBytes: number,
): ByteCollector {
  const declared = getDeclaredBytes(message);
  return new ByteCollector(declared > 0 ? declared : maxBytes);
}

/** Gives the Content-Length of a message; 0 if it has none. */
function getDeclaredBytes({headers}: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}
