/**
 * The platform over HTTP and JSON. An error before the request was sent is
 * told apart from an answer that was lost, since only the first proves that
 * nothing happened.
 */
import {getErrorText, isNeverSent, readBoundedText} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import {Pool} from 'undici';
import * as z from 'zod';
import {PLATFORM_ERRORS} from './errors.js';
import {
  LISTED_HOST_SCHEMA,
  type HostList,
  type ListedHost,
} from './host_list.js';
import type {ObjectStore} from './object_store.js';
import type {
  CommitResult,
  KeyRange,
  PlatformError,
  TableRow,
  TableService,
  Transaction,
} from './table_service.js';

const ROWS_SCHEMA = z.object({
  rows: z.array(
    z.object({key: z.string(), version: z.number(), value: z.string()}),
  ),
});
const COMMIT_SCHEMA = z.object({
  committed: z.boolean(),
  failed: z.array(z.string()),
});
const HOSTS_SCHEMA = z.object({hosts: z.array(LISTED_HOST_SCHEMA)});

const THROTTLED = 429;
const NOT_FOUND = 404;
const CONNECTIONS = 8;
/** The longest answer, in bytes: an object, or all rows of a table. */
const MAX_ANSWER_BYTES = 33_554_432;
interface Call {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: string;
}

interface Answer {
  readonly status: number;
  readonly text: string;
}

/** All platform interfaces over one HTTP address. */
export class HttpPlatform implements TableService, ObjectStore, HostList {
  private readonly pool: Pool;

  /**
   * @param address The platform's place, as ip:port.
   * @param timeoutMs The longest that a call may take.
   */
  constructor(
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS,
      connectTimeout: timeoutMs,
    });
  }

  async readRows(
    keys: readonly string[],
  ): Promise<Result<readonly TableRow[], PlatformError>> {
    const body = JSON.stringify({keys});
    const answer = await this.sendJson('/table/read', body, ROWS_SCHEMA);
    return answer.map((value) => value.rows);
  }

  async scanRows(
    range: KeyRange,
  ): Promise<Result<readonly TableRow[], PlatformError>> {
    const body = JSON.stringify(range);
    const answer = await this.sendJson('/table/scan', body, ROWS_SCHEMA);
    return answer.map((value) => value.rows);
  }

  async commit(
    transaction: Transaction,
  ): Promise<Result<CommitResult, PlatformError>> {
    const body = JSON.stringify(transaction);
    return this.sendJson('/table/commit', body, COMMIT_SCHEMA);
  }

  async getObject(
    name: string,
  ): Promise<Result<string | undefined, PlatformError>> {
    const answer = await this.send({method: 'GET', path: `/objects/${name}`});
    return answer.map(({status, text}) =>
      status === NOT_FOUND ? undefined : text,
    );
  }

  async putObject(
    name: string,
    text: string,
  ): Promise<Result<void, PlatformError>> {
    const path = `/objects/${name}`;
    const answer = await this.send({method: 'PUT', path, body: text});
    return answer.map(() => undefined);
  }

  async listHosts(): Promise<Result<readonly ListedHost[], PlatformError>> {
    const answer = await this.send({method: 'GET', path: '/hosts'});
    return answer
      .andThen(({text}) => parseAnswer(text, HOSTS_SCHEMA))
      .map((value) => value.hosts);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async sendJson<S extends z.ZodType>(
    path: string,
    body: string,
    schema: S,
  ): Promise<Result<z.infer<S>, PlatformError>> {
    const answer = await this.send({method: 'POST', path, body});
    return answer.andThen(({text}) => parseAnswer(text, schema));
  }

  private async send(call: Call): Promise<Result<Answer, PlatformError>> {
    try {
      const response = await this.pool.request({
        method: call.method,
        path: call.path,
        body: call.body ?? null,
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const text = await readBoundedText(response.body, MAX_ANSWER_BYTES);
      return checkStatus({status: response.statusCode, text});
    } catch (thrown) {
      return err(createCallError(thrown));
    }
  }
}

function checkStatus(answer: Answer): Result<Answer, PlatformError> {
  const {status, text} = answer;
  if (status === THROTTLED) {
    return err(PLATFORM_ERRORS.create('platform_throttled', {}, 1));
  }
  if (status < 300 || status === NOT_FOUND) return ok(answer);
  const detail = `status ${status}: ${text.slice(0, 200)}`;
  return err(PLATFORM_ERRORS.create('platform_bad_answer', {detail}));
}

function parseAnswer<S extends z.ZodType>(
  text: string,
  schema: S,
): Result<z.infer<S>, PlatformError> {
  try {
    return ok(schema.parse(JSON.parse(text)));
  } catch (thrown) {
    const detail = getErrorText(thrown);
    return err(PLATFORM_ERRORS.create('platform_bad_answer', {detail}));
  }
}

function createCallError(thrown: unknown): PlatformError {
  const detail = getErrorText(thrown);
  const kind = isNeverSent(thrown)
    ? 'platform_unreachable'
    : 'platform_answer_lost';
  return PLATFORM_ERRORS.create(kind, {detail}, 1);
}
