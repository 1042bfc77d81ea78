/** The log lines about a host's replica of one table. */
import {formatRevision} from '@irisdock/decisions';
import type {Logger} from '@irisdock/kernel';
import type {TableName} from '../model/table_store.js';
import type {ReaderRole} from './store_update.js';

/** Writes the log lines of one table. */
export class TableLog {
  constructor(
    private readonly table: TableName,
    private readonly log: Logger,
  ) {}

  /** Rows of the replica have changed. */
  writeChanged(rows: number, revision: number, source: string): void {
    const {table} = this;
    const fields = {table, rows, revision: formatRevision(revision), source};
    this.log.writeInfo('The table changed.', fields);
  }

  /** This host's role in reading the store has changed. */
  writeRole(role: ReaderRole): void {
    this.log.writeInfo('The store reader role of this host changed.', {
      table: this.table,
      role: typeof role === 'object' ? `reader ${role.rank}` : role,
    });
  }

  /** The store returned a table that is older than the replica. */
  writeStaleRead(revision: number, held: number): void {
    this.log.writeInfo('The store returned a stale table; ignoring it.', {
      table: this.table,
      revision: formatRevision(revision),
      held: formatRevision(held),
    });
  }

  /** A revision showed that the store was restored. */
  writeRestored(revision: number, held: number, source: string): void {
    this.log.writeWarning('The store was restored from a backup.', {
      table: this.table,
      revision: formatRevision(revision),
      held: formatRevision(held),
      source,
    });
  }

  /** The store no longer has the changes after the replica's revision. */
  writeHistoryLost(): void {
    const {table} = this;
    this.log.writeInfo('The store dropped its history; reloading.', {table});
  }

  /** A call to the store failed. */
  writeUnavailable(kind: string): void {
    const {table} = this;
    this.log.writeWarning('The store is unavailable.', {table, kind});
  }

  /** The store answered a read after the time limit. */
  writeLateAnswer(ms: number): void {
    const {table} = this;
    this.log.writeInfo('The store answered late.', {table, ms: Math.round(ms)});
  }

  /** A call to the store succeeded after a failure. */
  writeAvailable(): void {
    this.log.writeInfo('The store is available again.', {table: this.table});
  }
}
