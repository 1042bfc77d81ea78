/** Answers a request that this host may not run. */
import {sendError, type WebRequest} from '@irisdock/web';
import type {OwnerRefusal} from '../services/ownership.js';

/** Sends the refusal; a caller is sent on to the owner with `Location`. */
export function sendOwnerRefusal(
  request: WebRequest,
  refusal: OwnerRefusal,
  headers: Readonly<Record<string, string>> = {},
): void {
  const {error, location} = refusal;
  const path = request.message.url ?? '/';
  sendError(request.response, error, {
    ...headers,
    ...(location === undefined ? {} : {location: `http://${location}${path}`}),
  });
}
