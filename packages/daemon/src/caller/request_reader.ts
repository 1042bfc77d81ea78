/** Reads the headers and body of requests to the callers' routes. */
import {err, ok, type Result} from 'neverthrow';
import type {KnownError} from '@irisdock/kernel';
import type {WebRequest} from '@irisdock/web';
import {readRequestHeaders, type RequestHeaders} from './request_headers.js';

/** The headers and body of a request, parsed and validated. */
export interface RequestParts<B> {
  readonly headers: RequestHeaders;
  readonly body: B;
}

/**
 * Reads headers and body. The body is read even if the headers are invalid, so
 * that its bytes are not parsed as the connection's next request.
 */
export async function readRequestParts<B>(
  request: WebRequest,
  readBody: () => Promise<Result<B, KnownError>>,
): Promise<Result<RequestParts<B>, KnownError>> {
  const headers = readRequestHeaders(request);
  const body = await readBody();
  if (headers.isErr()) return err(headers.error);
  if (body.isErr()) return err(body.error);
  return ok({headers: headers.value, body: body.value});
}
