/** Log lines of a host's copy of one table. */
import {formatRevision} from '@irisdock/decisions';
import type {Logger} from '@irisdock/kernel';
import type {TableName} from '../model/table_store.js';
import type {ReaderRole} from './store_update.js';

/** Writes them. */
export class TableLog {
  constructor(
    private readonly table: TableName,
    private readonly log: Logger,
  ) {}

  /** The copy has changed. */
  writeChanged(rows: number, revision: number, source: string): void {
    const {table} = this;
    const fields = {table, rows, revision: formatRevision(revision), source};
    this.log.writeInfo('The table changed.', fields);
  }

  /** The store is read by this host, or by others. */
  writeRole(role: ReaderRole): void {
    this.log.writeInfo('Who reads the store has changed.', {
      table: this.table,
      role: typeof role === 'object' ? `reader ${role.rank}` : role,
    });
  }

  /** The store answered from a copy that lags. */
  writeStaleRead(revision: number, held: number): void {
    this.log.writeInfo('The store showed an older table; kept.', {
      table: this.table,
      revision: formatRevision(revision),
      held: formatRevision(held),
    });
  }

  /** A revision of a later era was seen. */
  writeRestored(revision: number, held: number, source: string): void {
    this.log.writeWarning('The store was restored from an older copy.', {
      table: this.table,
      revision: formatRevision(revision),
      held: formatRevision(held),
      source,
    });
  }

  /** The store cannot give the changes after a revision any more. */
  writeHistoryLost(): void {
    const {table} = this;
    this.log.writeInfo('The store forgot its history; reading anew.', {table});
  }

  /** A call to the store failed. */
  writeUnavailable(kind: string): void {
    const {table} = this;
    this.log.writeWarning('The store is away.', {table, kind});
  }

  /** The store answers after a failure. */
  writeAvailable(): void {
    this.log.writeInfo('The store answers again.', {table: this.table});
  }
}
