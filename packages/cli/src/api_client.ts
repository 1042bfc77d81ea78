/**
 * Calls the operators' API. Servers are tried in turn; a change carries an
 * operation id, so that one sent to two servers is made once.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {getErrorText, isNeverSent, type KnownError} from '@irisdock/kernel';
import {
  CHANGE_SCHEMA,
  RESOURCE_SCHEMA,
  type Change,
  type KindName,
  type Resource,
} from '@irisdock/resources';
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import * as z from 'zod';
import {CLI_ERRORS} from './errors.js';
import {TASKS_SCHEMA} from './task_list.js';

const CALL_MS = 15_000;
// How long a change that was refused for the moment is sent again.
const RETRY_MS = 10_000;
const NOT_FOUND = 404;

const LIST_SCHEMA = z.object({
  revision: z.number(),
  resources: z.array(RESOURCE_SCHEMA),
});
const AUDIT_SCHEMA = z.object({
  changes: z.array(CHANGE_SCHEMA),
  next: z.number(),
  more: z.boolean(),
});
/** Limits on requests that endpoints name. */
const LIMITS_SCHEMA = z.object({
  limits: z.array(
    z.object({
      endpoint: z.string(),
      service: z.string().nullable(),
      address: z.string().nullable(),
      perSecond: z.number(),
      sinceSeconds: z.number(),
      source: z.string(),
      issuer: z.string().nullable(),
      given: z.number(),
      held: z.number(),
    }),
  ),
});
/** The hosts as one gateway knows them. */
const HOSTS_SCHEMA = z.object({
  shownBy: z.string(),
  version: z.number(),
  ageMs: z.number(),
  /** Teams whose requests are refused; hosts of older versions tell none. */
  unusableTeams: z.array(z.string()).default([]),
  hosts: z.array(
    z.object({
      name: z.string(),
      failureDomain: z.string(),
      region: z.string().optional(),
      capacity: z
        .object({
          cores: z.number(),
          linkMbps: z.number(),
          memoryMb: z.number(),
        })
        .optional(),
      standing: z.string(),
      state: z.string(),
      isStoreAway: z.boolean(),
      role: z.string(),
      configuration: z.number().nullable(),
      heardSecondsAgo: z.number().nullable(),
    }),
  ),
});
/** A host as one gateway knows it. */
export type HostEntry = z.infer<typeof HOSTS_SCHEMA>['hosts'][number];
/** Contents under which endpoints ended. */
const CRASHES_SCHEMA = z.object({
  contents: z.array(
    z.object({
      content: z.string(),
      verdict: z.string(),
      endpoints: z.array(z.string()),
      lastSecondsAgo: z.number(),
    }),
  ),
});
const REMOVED_SCHEMA = z.object({content: z.string()});
/** The status of a host and of what it sees. */
export const STATUS_SCHEMA = z.object({
  host: z.object({
    hostId: z.string(),
    failureDomain: z.string(),
    right: z.string(),
    state: z.string(),
    tableAgeMs: z.number(),
  }),
  revision: z.number(),
  hosts: z.array(
    z.object({
      hostId: z.string(),
      state: z.string(),
      failureDomain: z.string(),
      callerAddress: z.string(),
      revision: z.number().optional(),
    }),
  ),
  services: z.array(
    z.object({
      service: z.string(),
      waiting: z.number(),
      endpoints: z.array(
        z.object({
          address: z.string(),
          failureDomain: z.string(),
          answering: z.boolean(),
          leaving: z.boolean(),
          running: z.number(),
          slots: z.number(),
          models: z.array(z.string()),
        }),
      ),
    }),
  ),
});
/** The status of a host and of what it sees. */
export type Status = z.infer<typeof STATUS_SCHEMA>;

const ERROR_SCHEMA = z.object({
  error: z.object({
    kind: z.string(),
    message: z.string(),
    remedy: z.string(),
    outcome: z.enum(['not-run', 'run', 'unknown']),
    retryAfterSeconds: z.number().optional(),
  }),
});

interface Call {
  readonly method: 'DELETE' | 'GET' | 'PUT';
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Calls one deployment. */
export class ApiClient {
  constructor(
    readonly servers: readonly string[],
    private readonly actor: string,
  ) {}

  /** Lists a kind's resources. */
  async listResources(
    kind: KindName,
  ): Promise<Result<readonly Resource[], KnownError>> {
    const path = `/v1/resources/${kind}`;
    const list = await this.sendChecked({method: 'GET', path}, LIST_SCHEMA);
    return list.map((value) => value.resources);
  }

  /** Gets a resource; undefined when there is none. */
  async getResource(
    kind: KindName,
    name: string,
  ): Promise<Result<Resource | undefined, KnownError>> {
    const path = `/v1/resources/${kind}/${name}`;
    const found = await this.sendChecked(
      {method: 'GET', path},
      RESOURCE_SCHEMA,
    );
    if (found.isOk()) return ok(found.value);
    if (found.error.status === NOT_FOUND) return ok(undefined);
    return err(found.error);
  }

  /** Puts a resource that is at the given version; 0 for absent. */
  async putResource(
    kind: KindName,
    name: string,
    spec: unknown,
    version: number,
  ): Promise<Result<Change, KnownError>> {
    const path = `/v1/resources/${kind}/${name}`;
    const body = JSON.stringify({spec});
    const headers = {'if-match': String(version)};
    return this.submitChange({method: 'PUT', path, body, headers});
  }

  /** Deletes a resource; at the given version when there is one. */
  async deleteResource(
    kind: KindName,
    name: string,
    version: number | undefined,
  ): Promise<Result<Change, KnownError>> {
    const path = `/v1/resources/${kind}/${name}`;
    const headers: Record<string, string> =
      version === undefined ? {} : {'if-match': String(version)};
    return this.submitChange({method: 'DELETE', path, headers});
  }

  /** Reads the audit trail after a revision. */
  async listAudit(
    after: number,
    limit: number,
  ): Promise<Result<readonly Change[], KnownError>> {
    const path = `/v1/audit?after=${after}&limit=${limit}`;
    const page = await this.sendChecked({method: 'GET', path}, AUDIT_SCHEMA);
    return page.map((value) => value.changes);
  }

  /** Gets a host's status. */
  async getStatus(): Promise<Result<Status, KnownError>> {
    return this.sendChecked({method: 'GET', path: '/v1/status'}, STATUS_SCHEMA);
  }

  /** Lists the contents under which endpoints ended, as a gateway knows them. */
  async listCrashes(): Promise<
    Result<z.infer<typeof CRASHES_SCHEMA>, KnownError>
  > {
    const path = '/v1/crashes';
    return this.sendChecked({method: 'GET', path}, CRASHES_SCHEMA);
  }

  /** Lists the limits that endpoints name, as a gateway believes them. */
  async listLimits(): Promise<
    Result<z.infer<typeof LIMITS_SCHEMA>, KnownError>
  > {
    const path = '/v1/limits';
    return this.sendChecked({method: 'GET', path}, LIMITS_SCHEMA);
  }

  /** Lists the singleton tasks as a gateway last saw them. */
  async listTasks(): Promise<Result<z.infer<typeof TASKS_SCHEMA>, KnownError>> {
    return this.sendChecked({method: 'GET', path: '/v1/tasks'}, TASKS_SCHEMA);
  }

  /** Lists the hosts as one gateway knows them. */
  async listHosts(): Promise<Result<z.infer<typeof HOSTS_SCHEMA>, KnownError>> {
    return this.sendChecked({method: 'GET', path: '/v1/hosts'}, HOSTS_SCHEMA);
  }

  /** Takes a content off that list, at all hosts. */
  async deleteCrashes(
    content: string,
  ): Promise<Result<z.infer<typeof REMOVED_SCHEMA>, KnownError>> {
    const path = `/v1/crashes/${encodeURIComponent(content)}`;
    const headers = {'x-irisdock-actor': this.actor};
    return this.sendChecked({method: 'DELETE', path, headers}, REMOVED_SCHEMA);
  }

  private async submitChange(call: Call): Promise<Result<Change, KnownError>> {
    const headers = {
      ...call.headers,
      'x-irisdock-actor': this.actor,
      'x-irisdock-operation-id': randomUUID(),
    };
    const endAt = Date.now() + RETRY_MS;
    for (;;) {
      const change = await this.sendChecked({...call, headers}, CHANGE_SCHEMA);
      if (change.isOk()) return change;
      const {outcome, retryAfterSeconds} = change.error;
      // The operation id makes sending again safe, but a person decides on
      // what is not known.
      if (outcome !== 'not-run' || retryAfterSeconds === undefined) {
        return change;
      }
      if (Date.now() + retryAfterSeconds * 1000 > endAt) return change;
      await wait(retryAfterSeconds * 1000);
    }
  }

  private async sendChecked<S extends z.ZodType>(
    call: Call,
    schema: S,
  ): Promise<Result<z.infer<S>, KnownError>> {
    const answer = await this.send(call);
    if (answer.isErr()) return err(answer.error);
    return parseAnswer(answer.value, schema);
  }

  /** Sends to the first server that answers. */
  private async send(call: Call): Promise<Result<Answer, KnownError>> {
    let detail = '';
    let maySent = false;
    for (const server of this.servers) {
      try {
        const answer = await request(`http://${server}${call.path}`, {
          method: call.method,
          headers: {'content-type': 'application/json', ...call.headers},
          body: call.body ?? null,
          signal: AbortSignal.timeout(CALL_MS),
        });
        const text = await answer.body.text();
        return ok({status: answer.statusCode, text});
      } catch (thrown) {
        detail = getErrorText(thrown);
        maySent ||= !isNeverSent(thrown);
      }
    }
    const isChange = call.method !== 'GET';
    if (isChange && maySent) {
      return err(CLI_ERRORS.create('answer_lost', {detail}));
    }
    const servers = this.servers.join(', ');
    return err(CLI_ERRORS.create('unreachable', {servers, detail}));
  }
}

function parseAnswer<S extends z.ZodType>(
  answer: Answer,
  schema: S,
): Result<z.infer<S>, KnownError> {
  const {status, text} = answer;
  try {
    const value: unknown = JSON.parse(text);
    if (status < 300) return ok(schema.parse(value));
    const {error} = ERROR_SCHEMA.parse(value);
    const {retryAfterSeconds, ...rest} = error;
    return err({
      ...rest,
      status,
      ...(retryAfterSeconds === undefined ? {} : {retryAfterSeconds}),
    });
  } catch (thrown) {
    const detail = `status ${status}, ${getErrorText(thrown)}`;
    return err(CLI_ERRORS.create('bad_answer', {detail}));
  }
}
