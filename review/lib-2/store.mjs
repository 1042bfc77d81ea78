/**
 * A stand-in of the platform's store: rows with versions from one counter,
 * transactions with conditions, reads in pages and a feed of changes.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const PAGE_ROWS = 500;
/** How far its steady clock is ahead of this process's, in ms. */
const CLOCK_LEAD_MS = 3_600_000;

/** Keeps the rows and serves them to the hosts. */
export class Store {
  rows = new Map();
  /** The counter of transactions, which gives rows their versions. */
  version = 1;
  feeds = new Set();
  server = createServer((message, response) => {
    const parts = [];
    message.on('data', (part) => parts.push(part));
    message.on('end', () => {
      this.#handle(
        new URL(message.url, 'http://store'),
        Buffer.concat(parts).toString(),
        response,
      );
    });
  });

  /** Starts to listen; gives its address. */
  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** Closes all connections. */
  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator or a server does; undefined deletes it. */
  put(table, key, value, part = '') {
    this.version++;
    const text = value === undefined ? undefined : JSON.stringify(value);
    this.#set(table, part, key, text && Buffer.from(text).toString('base64'));
    this.#wake();
  }

  /** Counts a transaction that changes no row, such as a heartbeat. */
  countHeartbeat() {
    this.version++;
  }

  #set(table, part, key, value) {
    this.rows.set(JSON.stringify([table, part, key]), {
      table,
      part,
      private_key: key,
      value,
      record_version: this.version,
    });
  }

  #wake() {
    for (const wake of [...this.feeds]) wake();
  }

  #handle(url, body, response) {
    if (url.pathname === '/-/rows-tx') this.#commit(JSON.parse(body), response);
    else if (url.pathname === '/-/rows-get') this.#read(url, response);
    else if (url.pathname === '/-/rows-feed') this.#follow(url, response);
    else response.writeHead(404).end();
  }

  #commit({expected_revision = [], set_keys = [], remove = []}, response) {
    const find = ({table, part = '', private_key}) =>
      this.rows.get(JSON.stringify([table, part, private_key]));
    const rows = expected_revision.map(find);
    const isMet = expected_revision.every(({record_version}, index) => {
      const row = rows[index];
      return (
        (row?.value === undefined ? 0 : row.record_version) === record_version
      );
    });
    if (!isMet) {
      const present = rows.filter((row) => row?.value !== undefined);
      this.#send(response, 412, {rows: present});
      return;
    }
    if ([...set_keys, ...remove].some(({table}) => table === 'servers')) {
      response.writeHead(403).end();
      return;
    }
    this.version++;
    for (const {table, part = '', private_key, value} of set_keys) {
      this.#set(table, part, private_key, value);
    }
    for (const {table, part = '', private_key} of remove) {
      this.#set(table, part, private_key, undefined);
    }
    this.#send(response, 200, {});
    this.#wake();
  }

  #read(url, response) {
    const query = url.searchParams;
    const from = query.get('from') ?? '';
    const end = query.get('target_version');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const present = this.#list(query)
      .filter(({value, private_key: key}) => {
        return (
          value !== undefined && key >= from && (end === null || key < end)
        );
      })
      .sort((a, b) => (a.private_key < b.private_key ? -1 : 1));
    const rows = present.slice(0, limit);
    this.#send(response, 200, {rows, more_pages: present.length > limit});
  }

  #follow(url, response) {
    const query = url.searchParams;
    const after = Number(query.get('after_revision'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    const trySend = (isOver) => {
      const rows = this.#list(query)
        .filter(({record_version: version}) => version > after)
        .sort((a, b) => a.record_version - b.record_version)
        .map((row) =>
          row.value === undefined ? {...row, tombstone: true} : row,
        );
      if (rows.length === 0 && !isOver) return false;
      this.#send(response, 200, {rows});
      return true;
    };
    if (trySend(false)) return;
    const finish = () => {
      clearTimeout(timer);
      this.feeds.delete(wake);
    };
    const wake = () => {
      if (trySend(false)) finish();
    };
    const timer = setTimeout(() => {
      finish();
      trySend(true);
    }, waitMs);
    this.feeds.add(wake);
    response.once('close', finish);
  }

  #list(query) {
    const table = query.get('table');
    const part = query.get('part');
    return [...this.rows.values()].filter((row) => {
      return row.table === table && (part === null || row.part === part);
    });
  }

  #send(response, status, body) {
    if (response.destroyed) return;
    const now_ms = Math.round(performance.now()) + CLOCK_LEAD_MS;
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(
      JSON.stringify({...body, record_version: this.version, now_ms}),
    );
  }
}
