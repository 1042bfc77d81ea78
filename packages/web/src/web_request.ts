/** One HTTP request as a handler sees it: its parts read and checked. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  BodyMemory,
  isLargerThan,
  readRequestBody,
  type BodyFault,
  type KnownError,
} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import type * as z from 'zod';
import {WEB_ERRORS} from './errors.js';

/** Bounds on reading a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Milliseconds from the first look to the last byte. */
  readonly maxMs: number;
}

/** When a request that found no memory may come back, in seconds. */
const MEMORY_RETRY_S = 1;

/** A request with its route's parameters. */
export class WebRequest {
  readonly url: URL;

  constructor(
    readonly message: IncomingMessage,
    readonly response: ServerResponse,
    readonly parameters: Readonly<Record<string, string>>,
    private readonly limits: BodyLimits,
    private readonly memory = new BodyMemory(),
  ) {
    this.url = new URL(message.url ?? '/', 'http://localhost');
  }

  /** Gives a header's single value; undefined when it is absent. */
  getHeader(name: string): string | undefined {
    const value = this.message.headers[name];
    return Array.isArray(value) ? value.join(', ') : value;
  }

  /** Gives a parameter of the path. */
  getParameter(name: string): string {
    return this.parameters[name] ?? '';
  }

  /** Reads the whole body within the limits. */
  async readBody(): Promise<Result<Buffer, KnownError>> {
    const {message, response, memory} = this;
    const {maxBytes, maxMs} = this.limits;
    if (isLargerThan(message, maxBytes)) return this.failBody('too-large');
    const controller = new AbortController();
    const timer = setTimeout(() => {
      controller.abort();
    }, maxMs);
    const {signal} = controller;
    const reading = {maxBytes, signal, memory};
    const body = await readRequestBody(message, response, reading);
    clearTimeout(timer);
    return typeof body === 'string' ? this.failBody(body) : ok(body);
  }

  /** Reads the body as JSON of the given shape. */
  async readJson<S extends z.ZodType>(
    schema: S,
  ): Promise<Result<z.infer<S>, KnownError>> {
    const body = await this.readBody();
    if (body.isErr()) return err(body.error);
    return parseJson(schema, body.value.toString('utf8'));
  }

  private failBody(fault: BodyFault): Result<Buffer, KnownError> {
    const {maxBytes, maxMs} = this.limits;
    switch (fault) {
      case 'aborted':
        return err(WEB_ERRORS.create('body_too_slow', {seconds: maxMs / 1000}));
      case 'cut':
        return err(WEB_ERRORS.create('body_cut'));
      case 'no-memory':
        return err(WEB_ERRORS.create('memory_full', {}, MEMORY_RETRY_S));
      case 'too-large':
        return err(WEB_ERRORS.create('body_too_large', {limit: maxBytes}));
    }
  }
}

/** Parses text as JSON of the given shape; names every wrong field. */
export function parseJson<S extends z.ZodType>(
  schema: S,
  text: string,
): Result<z.infer<S>, KnownError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (thrown) {
    const detail = thrown instanceof Error ? thrown.message : String(thrown);
    return err(WEB_ERRORS.create('bad_json', {detail}));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const detail = formatIssues(parsed.error);
  return err(WEB_ERRORS.create('bad_field', {detail}));
}

/** Formats the faults of a value as `path: fault` pairs. */
export function formatIssues(error: z.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
}
