/** Reads the whole body of an answer. */
import type {EndpointResponse} from '../channels/endpoint_client.js';

/** Bodies that are longer count as cut; callers never need such ones. */
const MAX_BODY_BYTES = 8_388_608;

/** Gives the body; undefined when it was cut short or is too long. */
export async function readAnswerBody(
  answer: EndpointResponse,
): Promise<Buffer | undefined> {
  const {message} = answer;
  const parts: Buffer[] = [];
  let size = 0;
  return new Promise((resolve) => {
    message.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= MAX_BODY_BYTES) parts.push(part);
      else resolve(undefined);
    });
    message.once('end', () => {
      resolve(answer.isComplete() ? Buffer.concat(parts) : undefined);
    });
    message.once('error', () => {
      resolve(undefined);
    });
    message.once('close', () => {
      resolve(undefined);
    });
  });
}
