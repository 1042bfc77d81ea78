/** The resource API for operators: get, list, put, delete and watch. */
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

/** Request header with the name of who makes a change. */
export const ACTOR_HEADER = 'x-irisdock-actor';
/** Request header that identifies a change, so that a retry is idempotent. */
export const OPERATION_ID_HEADER = 'x-irisdock-operation-id';

const PUT_SCHEMA = z.strictObject({spec: z.unknown()});
const OPERATION_ID_PATTERN = /^[A-Za-z0-9._-]{1,100}$/;
const MAX_ACTOR_CHARS = 100;
const MAX_QUEUED_BATCHES = 1000;
const WATCH_PING_INTERVAL_MS = 5000;

/** Handles the requests of the resource API. */
export class ResourceRoutes {
  constructor(
    private readonly configuration: Configuration,
    private readonly writer: ConfigurationWriter,
  ) {}

  /** Lists the routes of the resource API. */
  listRoutes(): Route[] {
    const resourcePath = '/v1/resources/:kind/:name';
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
        path: resourcePath,
        handle: (r) => {
          this.sendOne(r);
        },
      },
      {
        method: 'PUT',
        path: resourcePath,
        handle: (r) => this.submitChange(r, 'put'),
      },
      {
        method: 'DELETE',
        path: resourcePath,
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
    const resource = this.configuration.activeState.get(kind.value, name);
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
    const changeRequest =
      action === 'put'
        ? await this.readPut(request)
        : this.createRequest(request, action, null);
    if (changeRequest.isErr()) {
      sendError(request.response, changeRequest.error);
      return;
    }
    const {operationId} = changeRequest.value;
    const headers = {[OPERATION_ID_HEADER]: operationId};
    const change = await this.writer.submit(changeRequest.value);
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
    const expected = readExpectedVersion(request);
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

  /** Streams changes as server-sent events whose id is the revision. */
  private async watch(request: WebRequest): Promise<void> {
    const {response} = request;
    const after = readAfterRevision(request, this.configuration.revision);
    if (after.isErr()) {
      sendError(response, after.error);
      return;
    }
    const signal = createCallerSignal(response);
    const queue = new UpdateQueue<readonly Change[]>(MAX_QUEUED_BATCHES);
    queue.readFrom(this.configuration.changes, signal);
    const missedChanges = this.configuration.activeState.getChangesAfter(
      after.value,
    );
    if (missedChanges === undefined) {
      const data = {after: after.value};
      sendError(response, DAEMON_ERRORS.create('watch_too_old', data));
      return;
    }
    startEvents(response);
    let last = after.value;
    let batches: (readonly Change[])[] = [missedChanges];
    while (!signal.aborted && !queue.hasOverflowed) {
      for (const change of batches.flat()) {
        if (change.revision <= last) continue;
        // A snapshot was applied in between; the changes before it are unknown.
        if (change.revision !== last + 1) break;
        last = change.revision;
        const data = JSON.stringify(change);
        response.write(formatEvent({id: change.revision, data}));
      }
      if (last < this.configuration.activeState.logStartRevision) break;
      if (batches.length === 0) response.write(': ping\n\n');
      batches = await queue.takeAll(WATCH_PING_INTERVAL_MS, signal);
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

/** Reads `If-Match: <version>`; 0 requires that the resource is absent. */
function readExpectedVersion(
  request: WebRequest,
): Result<number | undefined, KnownError> {
  const text = request.getHeader('if-match');
  if (text === undefined) return ok(undefined);
  if (/^\d{1,15}$/.test(text)) return ok(Number(text));
  return err(createHeaderError('if-match', 'send a version number'));
}

function readAfterRevision(
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
