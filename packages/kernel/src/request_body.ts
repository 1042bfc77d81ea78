/** Reads the whole body of a request into memory. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BodyMemory} from './body_memory.js';
import {ByteCollector} from './byte_collector.js';

/** Matches the expectation among those of a request. */
const CONTINUE_EXPECTATION = /(?:^|\W)100-continue(?:$|\W)/iu;

/** Why a body could not be read. */
export type BodyFault = 'aborted' | 'cut' | 'no-memory' | 'too-large';

/** How a body is read. */
export interface BodyReading {
  /** The longest body that is accepted, in bytes. */
  readonly maxBytes: number;
  /** Ends the reading. */
  readonly signal: AbortSignal;
  /** The memory for the bodies of all requests. */
  readonly memory: BodyMemory;
}

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
 * kept, and the rest is left in the message. A body that was read holds its
 * memory until the response is closed.
 */
export async function readRequestBody(
  message: IncomingMessage,
  response: ServerResponse,
  {maxBytes, signal, memory}: BodyReading,
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
      hold.close();
      finish(fault);
    };
    const hold = memory.open(maxBytes, () => {
      stop('no-memory');
    });
    const add = (part: Buffer): void => {
      if (collector.length + part.length > maxBytes) {
        stop('too-large');
        return;
      }
      collector.add(part);
      hold.set(collector.capacity);
    };
    const finishWhole = (): void => {
      hold.keep();
      response.once('close', () => {
        hold.close();
      });
      finish(collector.getBytes());
    };
    const finishAborted = (): void => {
      stop('aborted');
    };
    const finishCut = (): void => {
      stop('cut');
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
