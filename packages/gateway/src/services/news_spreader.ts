/**
 * Spreads changes of the tables: what this host has just read from the store
 * goes to all others at once, what another one read is taken in.
 */
import type {Logger} from '@irisdock/kernel';
import type {NewsDatagram, PeerDatagram} from '../model/peer_message.js';
import {createNewsParts, decodePackedRows} from '../model/table_news.js';
import {FOLLOWED_TABLES, type FollowedTable} from '../model/watched_table.js';
import type {StoreNews} from './table_follower.js';
import type {Tables} from './tables.js';

/** Spreads changes. */
export class NewsSpreader {
  private isClosed = false;

  constructor(
    private readonly tables: Tables,
    private readonly sendAll: (datagram: PeerDatagram) => void,
    private readonly log: Logger,
  ) {}

  /** Starts to tell what the store brings. */
  start(): void {
    for (const table of FOLLOWED_TABLES) {
      void this.tables[table].storeNews.observe((news) => {
        if (!this.isClosed) this.send(table, news);
      });
    }
  }

  close(): void {
    this.isClosed = true;
  }

  /** Takes changes in; those that do not follow on what is known are left. */
  accept({table, after, revision, packedRows}: NewsDatagram): void {
    const rows = decodePackedRows(packedRows);
    if (rows.isErr()) {
      const fault = rows.error;
      this.log.writeWarning('News of a table cannot be read.', {table, fault});
      return;
    }
    this.tables[table].applyNews(rows.value, after, revision);
  }

  private send(table: FollowedTable, news: StoreNews): void {
    const {rows, after, revision} = news;
    const parts = createNewsParts(rows, after, revision);
    // Who gets no rows sees the revision in the next message and asks for them.
    for (const part of parts ?? []) {
      this.sendAll({kind: 'news', table, ...part});
    }
  }
}
