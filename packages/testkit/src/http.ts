/** Small HTTP calls of tests. */
import {request} from 'undici';

/** An answer, read whole. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** A call to make. */
export interface HttpCall {
  readonly method?: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Makes a call; redirects are not followed. */
export async function sendHttp(
  url: string,
  call: HttpCall = {},
): Promise<HttpAnswer> {
  const answer = await request(url, {
    method: call.method ?? 'GET',
    headers: {'content-type': 'application/json', ...call.headers},
    body: call.body ?? null,
  });
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(answer.headers)) {
    headers[name] = String(value);
  }
  const text = await answer.body.text();
  return {status: answer.statusCode, headers, text};
}

/** Gets JSON. */
export async function getJson<T>(url: string): Promise<T> {
  const answer = await sendHttp(url);
  return JSON.parse(answer.text) as T;
}

/** Puts JSON. */
export async function putJson(
  url: string,
  value: unknown,
): Promise<HttpAnswer> {
  return sendHttp(url, {method: 'PUT', body: JSON.stringify(value)});
}
