/** Reads the whole body of a request into memory. */
import type {IncomingMessage} from 'node:http';

/** Matches the expectation among those of a request. */
const CONTINUE_EXPECTATION = /(?:^|\W)100-continue(?:$|\W)/iu;

/** Why a body could not be read. */
export type BodyFault = 'aborted' | 'cut' | 'too-large';

/** Whether a body is known to be larger than this before it arrives. */
export function isLargerThan(
  {headers}: IncomingMessage,
  maxBytes: number,
): boolean {
  return Number(headers['content-length'] ?? 0) > maxBytes;
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
    let parts: Buffer[] = [];
    let size = 0;
    const finish = (result: Buffer | BodyFault): void => {
      message.off('data', add).off('end', finishWhole).off('close', finishCut);
      signal.removeEventListener('abort', finishAborted);
      parts = [];
      resolve(result);
    };
    const add = (part: Buffer): void => {
      size += part.length;
      parts.push(part);
      if (size <= maxBytes) return;
      message.pause();
      finish('too-large');
    };
    const finishWhole = (): void => {
      finish(Buffer.concat(parts));
    };
    const finishAborted = (): void => {
      message.pause();
      finish('aborted');
    };
    const finishCut = (): void => {
      finish('cut');
    };
    signal.addEventListener('abort', finishAborted);
    message.on('data', add).once('end', finishWhole).once('close', finishCut);
  });
}
