/** The response to a request that this host is not allowed to run. */
import {sendError, type WebRequest} from '@irisdock/web';
import type {OwnerRefusal} from '../services/ownership.js';

/** Sends the refusal, with the owner's address in `Location` if it is known. */
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
