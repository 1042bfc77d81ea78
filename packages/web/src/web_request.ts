/** One HTTP request as a handler sees it: its parts read and checked. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {KnownError} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import type * as z from 'zod';
import {WEB_ERRORS} from './errors.js';

/** Bounds on reading a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Milliseconds from the first look to the last byte. */
  readonly maxMs: number;
}

/** A request with its route's parameters. */
export class WebRequest {
  readonly url: URL;

  constructor(
    readonly message: IncomingMessage,
    readonly response: ServerResponse,
    readonly parameters: Readonly<Record<string, string>>,
    private readonly limits: BodyLimits,
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
    const {message, limits} = this;
    const declared = Number(message.headers['content-length'] ?? 0);
    if (declared > limits.maxBytes) return err(this.createTooLarge());
    return new Promise((resolve) => {
      const parts: Buffer[] = [];
      let size = 0;
      const finish = (result: Result<Buffer, KnownError>): void => {
        clearTimeout(timer);
        message.removeAllListeners('data');
        message.pause();
        resolve(result);
      };
      const seconds = limits.maxMs / 1000;
      const timer = setTimeout(() => {
        finish(err(WEB_ERRORS.create('body_too_slow', {seconds})));
      }, limits.maxMs);
      message.on('data', (part: Buffer) => {
        size += part.length;
        if (size > limits.maxBytes) finish(err(this.createTooLarge()));
        else parts.push(part);
      });
      message.once('end', () => {
        finish(ok(Buffer.concat(parts)));
      });
      message.once('close', () => {
        finish(err(WEB_ERRORS.create('body_cut')));
      });
    });
  }

  /** Reads the body as JSON of the given shape. */
  async readJson<S extends z.ZodType>(
    schema: S,
  ): Promise<Result<z.infer<S>, KnownError>> {
    const body = await this.readBody();
    if (body.isErr()) return err(body.error);
    return parseJson(schema, body.value.toString('utf8'));
  }

  private createTooLarge(): KnownError {
    return WEB_ERRORS.create('body_too_large', {limit: this.limits.maxBytes});
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
