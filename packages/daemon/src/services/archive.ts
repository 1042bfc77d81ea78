/**
 * The service `archive`: moves old changes from the table to the object store
 * to bound the size of the table. A batch holds a fixed number of revisions, so
 * the object name can be computed from any of them. Normally one host archives
 * at a time. Two hosts at once are harmless: the transaction that deletes the
 * rows also updates the last archived revision by compare-and-set.
 */
import {
  createService,
  createServiceKey,
  Repeater,
  type Logger,
} from '@irisdock/kernel';
import {chooseLeaderCandidates} from '@irisdock/decisions';
import type {ObjectStore, TableService} from '@irisdock/storage';
import type {Change} from '@irisdock/resources';
import {Gauge} from 'prom-client';
import * as z from 'zod';
import {
  ARCHIVE_BATCH_CHANGES,
  ARCHIVE_KEY,
  createArchiveRowValue,
  getArchiveObjectName,
  getChangeRowKey,
  getOperationRowKey,
  HEAD_KEY,
  readArchivedRevision,
  readChange,
  readHeadRevision,
} from '../configuration/table_rows.js';
import {HOST, type Host} from './host.js';
import {MEMBERSHIP, type Membership} from './membership.js';
import {PLATFORM} from './platform.js';

interface ArchiveParts {
  readonly host: Host;
  readonly membership: Membership;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly log: Logger;
  readonly keepChanges: number;
}

const ROLE_NAME = 'archive';

/** Moves old changes to the object store. */
export class Archive {
  private archivedRevision = 0;

  constructor(private readonly parts: ArchiveParts) {}

  /** The last archived revision known to this host. */
  get archivedThrough(): number {
    return this.archivedRevision;
  }

  /** Archives one batch if enough changes have accumulated. */
  async runRound(): Promise<void> {
    if (!this.isLeader()) return;
    const {table, keepChanges} = this.parts;
    const rows = await table.readRows([ARCHIVE_KEY, HEAD_KEY]);
    if (rows.isErr()) return;
    const archiveRow = rows.value.find((row) => row.key === ARCHIVE_KEY);
    const headRow = rows.value.find((row) => row.key === HEAD_KEY);
    this.archivedRevision = readArchivedRevision(archiveRow);
    const unarchivedChanges = readHeadRevision(headRow) - this.archivedRevision;
    if (unarchivedChanges < keepChanges + ARCHIVE_BATCH_CHANGES) return;
    await this.saveBatch(this.archivedRevision + 1, archiveRow?.version ?? 0);
  }

  private isLeader(): boolean {
    const {membership, host} = this.parts;
    const serving = membership.view.listServing().map((note) => note.hostId);
    return chooseLeaderCandidates(ROLE_NAME, serving, 1).includes(host.hostId);
  }

  private async saveBatch(from: number, version: number): Promise<void> {
    const {table, objects, log} = this.parts;
    const through = from + ARCHIVE_BATCH_CHANGES - 1;
    const rows = await table.scanRows({
      from: getChangeRowKey(from),
      until: getChangeRowKey(through + 1),
      limit: ARCHIVE_BATCH_CHANGES,
    });
    if (rows.isErr() || rows.value.length !== ARCHIVE_BATCH_CHANGES) return;
    const changes = rows.value.map(readChange);
    // The object is written before the rows are deleted, so that after a crash
    // in between the batch is archived again.
    const name = getArchiveObjectName(from);
    const put = await objects.putObject(name, JSON.stringify(changes));
    if (put.isErr()) return;
    const done = await table.commit({
      conditions: [{key: ARCHIVE_KEY, version}],
      writes: [
        {key: ARCHIVE_KEY, value: createArchiveRowValue(through)},
        ...changes.flatMap(listDeletes),
      ],
    });
    if (done.isErr() || !done.value.committed) return;
    this.archivedRevision = through;
    log.writeInfo('Archived changes.', {from, through});
  }
}

function listDeletes(change: Change): {key: string; value: null}[] {
  const keys = [
    getChangeRowKey(change.revision),
    getOperationRowKey(change.operationId),
  ];
  return keys.map((key) => ({key, value: null}));
}

/** The key of the service. */
export const ARCHIVE = createServiceKey<Archive>('archive');

const SETTINGS = z.object({
  keepChanges: z.coerce.number().int().min(0).default(20_000).meta({
    unit: 'changes',
    description:
      'Number of changes kept in the table; older ones are archived.',
  }),
  roundMs: z.coerce.number().int().min(50).default(5000).meta({
    unit: 'ms',
    description: 'Interval between two batches.',
  }),
});

/** Declares the service. */
export const ARCHIVE_SERVICE = createService({
  key: ARCHIVE,
  settings: SETTINGS,
  needs: [HOST, MEMBERSHIP, PLATFORM],
  create(context, settings) {
    const {table, objects} = context.find(PLATFORM);
    const api = new Archive({
      host: context.find(HOST),
      membership: context.find(MEMBERSHIP),
      table,
      objects,
      log: context.log,
      keepChanges: settings.keepChanges,
    });
    new Gauge({
      name: 'irisdock_archive_revision',
      help: 'The last archived revision known to this host, a count.',
      registers: [context.metrics],
      collect() {
        this.set(api.archivedThrough);
      },
    });
    const rounds = new Repeater(
      (signal) => context.clock.wait(settings.roundMs, signal),
      () => api.runRound(),
      context.log,
    );
    return {
      api,
      start() {
        rounds.start();
        return Promise.resolve();
      },
      stop: () => rounds.stop(),
    };
  },
});
