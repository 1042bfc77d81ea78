/**
 * The service `writer`: accepts configuration changes. Each change is one
 * transaction over the head row, the resource's row, the change's own row and a
 * row for its operation id. The operation row identifies a retried change whose
 * response was lost, so that it is applied only once.
 * docs/design/configuration.md.
 */
import {
  createService,
  createServiceKey,
  Task,
  type Clock,
  type KnownError,
  type Logger,
  type Random,
} from '@irisdock/kernel';
import type {
  PlatformError,
  TableRow,
  TableService,
  Transaction,
} from '@irisdock/storage';
import {
  checkDelete,
  checkPut,
  getResourceKey,
  type Change,
} from '@irisdock/resources';
import {err, ok, type Result} from 'neverthrow';
import {Counter} from 'prom-client';
import * as z from 'zod';
import type {ChangeRequest} from '../configuration/change_request.js';
import {
  getChangeRowKey,
  getOperationRowKey,
  getResourceRowKey,
  HEAD_KEY,
  HEAD_SCHEMA,
  readChange,
  readHeadRevision,
  readResource,
} from '../configuration/table_rows.js';
import {DAEMON_ERRORS} from '../errors.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {READER, type ConfigurationReader} from './configuration_reader.js';
import {MEMBERSHIP, type Membership} from './membership.js';
import {PLATFORM} from './platform.js';

interface WriterParts {
  readonly table: TableService;
  readonly configuration: Configuration;
  readonly reader: ConfigurationReader;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly maxMs: number;
  readonly acceptedChanges: Counter;
}

interface ChangeMessage {
  readonly request: ChangeRequest;
  readonly sendReply: (result: Result<Change, KnownError>) => void;
}

/** The result of one attempt to commit a change. */
type AttemptResult =
  | {readonly outcome: 'accepted'; readonly change: Change}
  | {readonly outcome: 'again'; readonly error?: PlatformError}
  | {readonly outcome: 'refused'; readonly error: KnownError};

/** The rows that a change depends on; undefined for an absent row. */
interface ChangeRows {
  readonly head: TableRow | undefined;
  readonly resource: TableRow | undefined;
  readonly operation: TableRow | undefined;
}

const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 500;

/** Accepts configuration changes, one at a time on this host. */
export class ConfigurationWriter {
  private readonly task: Task<ChangeMessage>;

  constructor(private readonly parts: WriterParts) {
    this.task = new Task(
      'changes',
      async ({request, sendReply}) => {
        sendReply(await this.accept(request));
      },
      parts.log,
    );
  }

  /** Queues a change; resolves to the accepted change or to the error. */
  async submit(request: ChangeRequest): Promise<Result<Change, KnownError>> {
    return new Promise((sendReply) => {
      this.task.post({request, sendReply});
    });
  }

  /** Stops after all submitted changes are processed. */
  async stop(): Promise<void> {
    await this.task.stop();
  }

  private async accept(
    request: ChangeRequest,
  ): Promise<Result<Change, KnownError>> {
    const {clock, maxMs, log} = this.parts;
    const deadlineAt = clock.getNow() + maxMs;
    let backoffMs = INITIAL_BACKOFF_MS;
    let mayBeAccepted = false;
    let detail = 'too many changes at once';
    while (clock.getNow() < deadlineAt) {
      const attempt = await this.tryChange(request);
      if (attempt.outcome === 'accepted') {
        return ok(this.finish(attempt.change));
      }
      if (attempt.outcome === 'refused') return err(attempt.error);
      if (attempt.error?.outcome === 'unknown') mayBeAccepted = true;
      detail = attempt.error?.message ?? detail;
      log.writeDebug('Retrying a change.', {detail});
      await clock.wait(backoffMs * (0.5 + this.parts.random.getInt(100) / 100));
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    const {operationId} = request;
    return err(
      mayBeAccepted
        ? DAEMON_ERRORS.create('change_unknown', {operationId}, 1)
        : DAEMON_ERRORS.create('table_unavailable', {detail}, 2),
    );
  }

  private finish(change: Change): Change {
    const {configuration, log, acceptedChanges} = this.parts;
    configuration.applyChanges([change]);
    acceptedChanges.inc({kind: change.kind, action: change.action});
    log.writeInfo('Accepted a change.', {
      revision: change.revision,
      actor: change.actor,
      resource: getResourceKey(change.kind, change.name),
      from: change.fromVersion,
      to: change.toVersion,
    });
    return change;
  }

  private async tryChange(request: ChangeRequest): Promise<AttemptResult> {
    if (!this.parts.membership.isChangeAllowed()) return this.refuseChange();
    const rows = await this.readRows(request);
    if (rows.isErr()) return {outcome: 'again', error: rows.error};
    const {head, operation} = rows.value;
    if (operation !== undefined) return this.findAccepted(operation);
    const revision = readHeadRevision(head);
    await this.readUntil(revision);
    if (this.parts.configuration.revision !== revision) {
      return {outcome: 'again'};
    }
    const checked = this.check(request, rows.value.resource);
    if (checked.isErr()) return {outcome: 'refused', error: checked.error};
    const change = this.createChange(request, revision + 1, checked.value);
    const transaction = createTransaction(change, rows.value);
    const result = await this.parts.table.commit(transaction);
    if (result.isErr()) return {outcome: 'again', error: result.error};
    if (!result.value.committed) return {outcome: 'again'};
    return {outcome: 'accepted', change};
  }

  private refuseChange(): AttemptResult {
    const {heard, known} = this.parts.membership.view.countHosts();
    const error = DAEMON_ERRORS.create('no_majority', {heard, known}, 2);
    return {outcome: 'refused', error};
  }

  private async readRows(
    request: ChangeRequest,
  ): Promise<Result<ChangeRows, PlatformError>> {
    const resourceKey = getResourceRowKey(request.kind, request.name);
    const operationKey = getOperationRowKey(request.operationId);
    const keys = [HEAD_KEY, resourceKey, operationKey];
    const rows = await this.parts.table.readRows(keys);
    return rows.map((found) => ({
      head: found.find((row) => row.key === HEAD_KEY),
      resource: found.find((row) => row.key === resourceKey),
      operation: found.find((row) => row.key === operationKey),
    }));
  }

  /** Returns the change that an earlier attempt of the operation committed. */
  private async findAccepted(operation: TableRow): Promise<AttemptResult> {
    const {revision} = HEAD_SCHEMA.parse(JSON.parse(operation.value));
    const rows = await this.parts.table.readRows([getChangeRowKey(revision)]);
    if (rows.isErr()) return {outcome: 'again', error: rows.error};
    const row = rows.value[0];
    if (row === undefined) return {outcome: 'again'};
    const change = readChange(row);
    await this.readUntil(revision);
    return {outcome: 'accepted', change};
  }

  private async readUntil(revision: number): Promise<void> {
    const {configuration, reader} = this.parts;
    if (configuration.revision < revision) await reader.readUpdates();
  }

  /** Validates a change against the current state; returns the version. */
  private check(
    request: ChangeRequest,
    row: TableRow | undefined,
  ): Result<number, KnownError> {
    const {kind, name, expectedVersion: expected, action, spec} = request;
    const current = row === undefined ? 0 : readResource(row).version;
    if (expected !== undefined && expected !== current) {
      const data = {kind, name, current, expected};
      return err(DAEMON_ERRORS.create('version_conflict', data));
    }
    const {activeState} = this.parts.configuration;
    if (action === 'put') {
      return checkPut(activeState, kind, name, spec).map(() => current);
    }
    if (current === 0) {
      return err(DAEMON_ERRORS.create('no_such_resource', {kind, name}));
    }
    return checkDelete(activeState, kind, name).map(() => current);
  }

  private createChange(
    request: ChangeRequest,
    revision: number,
    fromVersion: number,
  ): Change {
    const {operationId, actor, action, kind, name, spec} = request;
    const at = Math.floor(this.parts.clock.getWallNow());
    const toVersion = action === 'put' ? revision : 0;
    return {
      revision,
      operationId,
      actor,
      at,
      action,
      kind,
      name,
      fromVersion,
      toVersion,
      spec,
    };
  }
}

/** The key of the service. */
export const WRITER = createServiceKey<ConfigurationWriter>('writer');

const SETTINGS = z.object({
  maxMs: z.coerce.number().int().min(100).default(8000).meta({
    unit: 'ms',
    description: 'How long a change is retried before an error is returned.',
  }),
});

/** Declares the service. */
export const WRITER_SERVICE = createService({
  key: WRITER,
  settings: SETTINGS,
  needs: [CONFIGURATION, MEMBERSHIP, PLATFORM, READER],
  create(context, settings) {
    const api = new ConfigurationWriter({
      table: context.find(PLATFORM).table,
      configuration: context.find(CONFIGURATION),
      reader: context.find(READER),
      membership: context.find(MEMBERSHIP),
      clock: context.clock,
      random: context.random,
      log: context.log,
      maxMs: settings.maxMs,
      acceptedChanges: new Counter({
        name: 'irisdock_writer_changes_total',
        help: 'Changes accepted by this host, a count, by kind and action.',
        labelNames: ['kind', 'action'],
        registers: [context.metrics],
      }),
    });
    return {api, stop: () => api.stop()};
  },
});

function createTransaction(change: Change, rows: ChangeRows): Transaction {
  const {revision, kind, name, spec, toVersion: version} = change;
  const resource = JSON.stringify({kind, name, version, spec});
  const changeText = JSON.stringify(change);
  const revisionText = JSON.stringify({revision});
  const operationKey = getOperationRowKey(change.operationId);
  return {
    conditions: [
      {key: HEAD_KEY, version: rows.head?.version ?? 0},
      {key: operationKey, version: 0},
    ],
    writes: [
      {key: HEAD_KEY, value: revisionText},
      {
        key: getResourceRowKey(kind, name),
        value: change.action === 'put' ? resource : null,
      },
      {key: getChangeRowKey(revision), value: changeText},
      {key: operationKey, value: revisionText},
    ],
  };
}
