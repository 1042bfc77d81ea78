/** What the callers' routes begin with: headers and body, both or an error. */
import {err, ok, type Result} from 'neverthrow';
import type {KnownError} from '@irisdock/kernel';
import type {WebRequest} from '@irisdock/web';
import {readRequestHeaders, type RequestHeaders} from './request_headers.js';

/** A request's parts, read and checked. */
export interface RequestParts<B> {
  readonly headers: RequestHeaders;
  readonly body: B;
}

/**
 * Reads headers and body. The body is read whatever the headers are, so that
 * its bytes are not taken for the next request.
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
