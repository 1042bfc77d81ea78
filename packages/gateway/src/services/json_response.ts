/** JSON responses on the operators' address. */
import type {ServerResponse} from 'node:http';

/** Sends a complete response with a JSON body. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: object,
): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
