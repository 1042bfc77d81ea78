/** The resource API: get, list, put, delete and watch. */
import {randomUUID} from 'node:crypto';
import type {KnownError} from '@irisdock/kernel';
import {
  checkKind,
  checkName,
  checkSpec,
  type Change,
  type KindName,
} from '@irisdock/resources';
import {
  formatEvent,
  sendError,
  sendJson,
  startEvents,
  type Route,
  type WebRequest,
} from '@irisdock/web';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import type {ChangeRequest} from '../configuration/change_request.js';
import {UpdateQueue} from '../configuration/update_queue.js';
import {DAEMON_ERRORS} from '../errors.js';
import {createCallerSignal} from '../answer/caller_signal.js';
import type {Configuration} from '../services/configuration.js';
import type {ConfigurationWriter} from '../services/configuration_writer.js';

/** Who asks for a change. */
export const ACTOR_HEADER = 'x-irisdock-actor';
/** Names a change, so that one sent twice is made once. */
export const OPERATION_ID_HEADER = 'x-irisdock-operation-id';

const PUT_SCHEMA = z.strictObject({spec: z.unknown()});
const OPERATION_ID_PATTERN = /^[A-Za-z0-9._-]{1,100}$/;
const MAX_ACTOR_CHARS = 100;
const MAX_BEHIND = 1000;
const WATCH_PING_MS = 5000;

/** Serves the resources. */
export class ResourceRoutes {
  constructor(
    private readonly configuration: Configuration,
    private readonly writer: ConfigurationWriter,
  ) {}

  /** Lists the routes. */
  listRoutes(): Route[] {
    const one = '/v1/resources/:kind/:name';
    return [
      {
        method: 'GET',
        path: '/v1/resources/:kind',
        handle: (r) => {
          this.sendKind(r);
        },
      },
      {
        method: 'GET',
        path: one,
        handle: (r) => {
          this.sendOne(r);
        },
      },
      {method: 'PUT', path: one, handle: (r) => this.submitChange(r, 'put')},
      {
        method: 'DELETE',
        path: one,
        handle: (r) => this.submitChange(r, 'delete'),
      },
      {method: 'GET', path: '/v1/watch', handle: (r) => this.watch(r)},
    ];
  }

  private sendKind(request: WebRequest): void {
    const kind = checkKind(request.getParameter('kind'));
    if (kind.isErr()) {
      sendError(request.response, kind.error);
      return;
    }
    const {revision} = this.configuration;
    const resources = this.configuration.listKind(kind.value);
    sendJson(request.response, 200, {revision, resources});
  }

  private sendOne(request: WebRequest): void {
    const kind = checkKind(request.getParameter('kind'));
    if (kind.isErr()) {
      sendError(request.response, kind.error);
      return;
    }
    const name = request.getParameter('name');
    const resource = this.configuration.reader.get(kind.value, name);
    if (resource !== undefined) {
      sendJson(request.response, 200, resource);
      return;
    }
    const data = {kind: kind.value, name};
    sendError(request.response, DAEMON_ERRORS.create('no_such_resource', data));
  }

  private async submitChange(
    request: WebRequest,
    action: Change['action'],
  ): Promise<void> {
    const asked =
      action === 'put'
        ? await this.readPut(request)
        : this.createRequest(request, action, null);
    if (asked.isErr()) {
      sendError(request.response, asked.error);
      return;
    }
    const {operationId} = asked.value;
    const headers = {[OPERATION_ID_HEADER]: operationId};
    const change = await this.writer.submit(asked.value);
    if (change.isErr()) sendError(request.response, change.error, headers);
    else sendJson(request.response, 200, change.value, headers);
  }

  private async readPut(
    request: WebRequest,
  ): Promise<Result<ChangeRequest, KnownError>> {
    const body = await request.readJson(PUT_SCHEMA);
    if (body.isErr()) return err(body.error);
    return this.createRequest(request, 'put', body.value.spec);
  }

  private createRequest(
    request: WebRequest,
    action: Change['action'],
    rawSpec: unknown,
  ): Result<ChangeRequest, KnownError> {
    const kind = checkKind(request.getParameter('kind'));
    if (kind.isErr()) return err(kind.error);
    const name = checkName(request.getParameter('name'));
    if (name.isErr()) return err(name.error);
    const spec = checkActionSpec(action, kind.value, name.value, rawSpec);
    if (spec.isErr()) return err(spec.error);
    const expected = readExpected(request);
    if (expected.isErr()) return err(expected.error);
    const operationId = request.getHeader(OPERATION_ID_HEADER) ?? randomUUID();
    if (!OPERATION_ID_PATTERN.test(operationId)) {
      return err(
        createHeaderError(OPERATION_ID_HEADER, 'use 1 to 100 letters'),
      );
    }
    const actor = request.getHeader(ACTOR_HEADER) ?? 'unknown';
    return ok({
      operationId,
      actor: actor.slice(0, MAX_ACTOR_CHARS),
      action,
      kind: kind.value,
      name: name.value,
      spec: spec.value,
      expectedVersion: expected.value,
    });
  }

  /** Streams changes as events whose id is the revision. */
  private async watch(request: WebRequest): Promise<void> {
    const {response} = request;
    const after = readAfter(request, this.configuration.revision);
    if (after.isErr()) {
      sendError(response, after.error);
      return;
    }
    const signal = createCallerSignal(response);
    const queue = new UpdateQueue<readonly Change[]>(MAX_BEHIND);
    queue.readFrom(this.configuration.changes, signal);
    const missed = this.configuration.reader.getChangesAfter(after.value);
    if (missed === undefined) {
      const data = {after: after.value};
      sendError(response, DAEMON_ERRORS.create('watch_too_old', data));
      return;
    }
    startEvents(response);
    let last = after.value;
    let batches: (readonly Change[])[] = [missed];
    while (!signal.aborted && !queue.hasOverflowed) {
      for (const change of batches.flat()) {
        if (change.revision <= last) continue;
        // A snapshot came in between; the changes before it are not known.
        if (change.revision !== last + 1) break;
        last = change.revision;
        const data = JSON.stringify(change);
        response.write(formatEvent({id: change.revision, data}));
      }
      if (last < this.configuration.reader.logStartRevision) break;
      if (batches.length === 0) response.write(': ping\n\n');
      batches = await queue.takeAll(WATCH_PING_MS, signal);
    }
    response.end();
  }
}

function checkActionSpec(
  action: Change['action'],
  kind: KindName,
  name: string,
  spec: unknown,
): Result<unknown, KnownError> {
  return action === 'put' ? checkSpec(kind, name, spec) : ok(null);
}

/** `If-Match: <version>`; 0 asks that the resource is absent. */
function readExpected(
  request: WebRequest,
): Result<number | undefined, KnownError> {
  const text = request.getHeader('if-match');
  if (text === undefined) return ok(undefined);
  if (/^\d{1,15}$/.test(text)) return ok(Number(text));
  return err(createHeaderError('if-match', 'send a version number'));
}

function readAfter(
  request: WebRequest,
  fallback: number,
): Result<number, KnownError> {
  const text =
    request.getHeader('last-event-id') ?? request.url.searchParams.get('after');
  if (text === null || text === '') return ok(fallback);
  if (/^\d{1,15}$/.test(text)) return ok(Number(text));
  return err(createHeaderError('last-event-id', 'send a revision number'));
}

function createHeaderError(header: string, detail: string): KnownError {
  return DAEMON_ERRORS.create('bad_header', {header, detail});
}
