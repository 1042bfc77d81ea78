/**
 * A stand-in for the platform's store: rows in tables, whole reads, the feed of
 * changes, and transactions under conditions. It does nothing wrong.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

const MAX_ROWS = 500;

/** Keeps rows and serves them. */
export class Store {
  constructor() {
    this.rows = new Map();
    this.version = 1;
    this.waiting = new Set();
    this.server = createServer((message, response) => {
      const chunks = [];
      message.on('data', (chunk) => chunks.push(chunk));
      message.on('error', () => undefined);
      message.on('end', () => {
        this.handle(message.url, Buffer.concat(chunks), response);
      });
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Starts to listen at a loopback address; returns `ip:port`. */
  async start(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator or a server does; undefined removes it. */
  put(table, key, value) {
    this.version++;
    const text = value === undefined ? undefined : JSON.stringify(value);
    this.setRow(table, key, text && Buffer.from(text).toString('base64'));
    this.wake();
  }

  setRow(table, key, value) {
    const record_version = this.version;
    const row = {table, private_key: key, value, record_version};
    this.rows.set(`${table}/${key}`, row);
  }

  wake() {
    for (const check of [...this.waiting]) check(false);
  }

  handle(target, body, response) {
    const {pathname, searchParams} = new URL(target, 'http://store');
    response.on('error', () => undefined);
    if (pathname === '/-/rows-get') this.read(searchParams, response);
    else if (pathname === '/-/rows-feed') this.follow(searchParams, response);
    else if (pathname === '/-/rows-tx') this.commit(body, response);
    else this.send(response, 404, {});
  }

  list(table) {
    return [...this.rows.values()].filter((row) => row.table === table);
  }

  read(query, response) {
    const from = query.get('from') ?? '';
    const end = query.get('target_version');
    const rows = this.list(query.get('table')).filter(
      ({value, private_key: key}) =>
        value !== undefined && key >= from && (end === null || key < end),
    );
    rows.sort((a, b) => (a.private_key < b.private_key ? -1 : 1));
    const page = rows.slice(0, Number(query.get('limit') ?? MAX_ROWS));
    const more_pages = page.length < rows.length;
    this.send(response, 200, {rows: page, more_pages});
  }

  follow(query, response) {
    const after = Number(query.get('after_revision'));
    const check = (isOver) => {
      const changed = this.list(query.get('table')).filter(
        (row) => row.record_version > after,
      );
      if (changed.length === 0 && !isOver) return;
      clearTimeout(timer);
      this.waiting.delete(check);
      changed.sort((a, b) => a.record_version - b.record_version);
      const rows = changed.map((row) =>
        row.value === undefined ? {...row, tombstone: true} : row,
      );
      this.send(response, 200, {rows});
    };
    const waitMs = Number(query.get('wait_ms') ?? 0);
    const timer = setTimeout(() => check(true), waitMs);
    this.waiting.add(check);
    check(false);
  }

  commit(body, response) {
    const change = JSON.parse(body.toString());
    const conditions = change.expected_revision ?? [];
    for (const {table, private_key: key, record_version} of conditions) {
      const row = this.rows.get(`${table}/${key}`);
      const present = row?.value === undefined ? 0 : row.record_version;
      if (present === record_version) continue;
      this.send(response, 412, {rows: []});
      return;
    }
    this.version++;
    for (const {table, private_key: key, value} of change.set_keys ?? []) {
      this.setRow(table, key, value);
    }
    for (const {table, private_key: key} of change.remove ?? []) {
      this.setRow(table, key, undefined);
    }
    this.send(response, 200, {});
    this.wake();
  }

  send(response, status, body) {
    const record_version = this.version;
    const now_ms = Math.round(performance.now());
    const text = JSON.stringify({...body, record_version, now_ms});
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(text);
  }
}
