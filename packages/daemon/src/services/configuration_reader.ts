/**
 * The service `reader`: follows the table's configuration. All hosts together
 * poll at a bounded rate whatever their number, and pass what they read to
 * each other; so the table is read by few and heard by all.
 */
import {
  createService,
  createServiceKey,
  Repeater,
  type Logger,
} from '@irisdock/kernel';
import type {TableRow, TableService} from '@irisdock/storage';
import type {Resource} from '@irisdock/resources';
import * as z from 'zod';
import {
  CHANGE_RANGE_END,
  getChangeRowKey,
  HEAD_KEY,
  readChange,
  readHeadRevision,
  readResource,
  RESOURCE_RANGE,
} from '../configuration/table_rows.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {MEMBERSHIP} from './membership.js';
import {PLATFORM} from './platform.js';

const PAGE = 500;
const MAX_LOADS = 5;

/** Reads the table into the configuration. */
export class ConfigurationReader {
  private reading: Promise<void> | undefined;
  private isAway = false;

  constructor(
    private readonly table: TableService,
    private readonly configuration: Configuration,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  /** Reads what is new; calls made meanwhile share the round. */
  async readUpdates(): Promise<void> {
    this.reading ??= this.readOnce().finally(() => {
      this.reading = undefined;
    });
    await this.reading;
  }

  private async readOnce(): Promise<void> {
    const begunAt = this.now();
    const head = await this.readHeadRevision();
    if (head === undefined) return;
    const {revision} = this.configuration;
    if (head < revision) {
      // The platform lost what it had accepted; what is in force stays.
      this.log.writeError('The table went back.', {head, inForce: revision});
      return;
    }
    const caughtUp =
      head === revision ||
      (revision === 0 ? await this.load() : await this.readChanges(head));
    if (caughtUp) this.configuration.recordTableContact(this.now() - begunAt);
  }

  private async readHeadRevision(): Promise<number | undefined> {
    const rows = await this.table.readRows([HEAD_KEY]);
    this.reportAway(rows.isErr(), rows.isErr() ? rows.error.message : '');
    return rows.isOk() ? readHeadRevision(rows.value[0]) : undefined;
  }

  /** Logs when the table goes away and comes back, not each time. */
  private reportAway(isAway: boolean, error: string): void {
    if (isAway === this.isAway) return;
    this.isAway = isAway;
    if (isAway) this.log.writeWarning('Lost the table.', {error});
    else this.log.writeInfo('The table answers again.');
  }

  private async readChanges(head: number): Promise<boolean> {
    while (this.configuration.revision < head) {
      const before = this.configuration.revision;
      const rows = await this.table.scanRows({
        from: getChangeRowKey(before + 1),
        until: CHANGE_RANGE_END,
        limit: PAGE,
      });
      if (rows.isErr()) return false;
      if (!this.configuration.applyChanges(rows.value.map(readChange))) {
        return this.load();
      }
      if (this.configuration.revision === before) return this.load();
    }
    return true;
  }

  /** Loads everything; the head must be the same before and after. */
  private async load(): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_LOADS; attempt++) {
      const before = await this.readHeadRevision();
      const resources = await this.readResources();
      const after = await this.readHeadRevision();
      if (resources === undefined || after === undefined) return false;
      if (before !== after) continue;
      this.configuration.applySnapshot({revision: after, resources});
      return true;
    }
    return false;
  }

  private async readResources(): Promise<Resource[] | undefined> {
    const resources: Resource[] = [];
    let {from} = RESOURCE_RANGE;
    for (;;) {
      const {until} = RESOURCE_RANGE;
      const rows = await this.table.scanRows({from, until, limit: PAGE});
      if (rows.isErr()) return undefined;
      for (const row of rows.value) resources.push(readResource(row));
      const last: TableRow | undefined = rows.value.at(-1);
      if (rows.value.length < PAGE || last === undefined) return resources;
      from = `${last.key}\u0000`;
    }
  }
}

/** The key of the service. */
export const READER = createServiceKey<ConfigurationReader>('reader');

const SETTINGS = z.object({
  pollMs: z.coerce.number().int().min(50).default(1000).meta({
    unit: 'ms',
    description: 'The shortest time between two reads of the head row.',
  }),
  fleetPollsPerSecond: z.coerce.number().min(1).default(40).meta({
    unit: 'reads/s',
    description: 'Reads of the head row by all hosts together.',
  }),
});

/** Declares the service. */
export const READER_SERVICE = createService({
  key: READER,
  settings: SETTINGS,
  needs: [CONFIGURATION, MEMBERSHIP, PLATFORM],
  create(context, settings) {
    const {view} = context.find(MEMBERSHIP);
    const api = new ConfigurationReader(
      context.find(PLATFORM).table,
      context.find(CONFIGURATION),
      () => context.clock.getNow(),
      context.log,
    );
    const {pollMs, fleetPollsPerSecond} = settings;
    const polls = new Repeater(
      (signal) => {
        const {heard} = view.countHosts();
        const shared = (heard * 1000) / fleetPollsPerSecond;
        const spread = 0.75 + context.random.getInt(500) / 1000;
        const ms = Math.max(pollMs, shared) * spread;
        return context.clock.wait(ms, signal);
      },
      () => api.readUpdates(),
      context.log,
    );
    return {
      api,
      start() {
        polls.start();
        return Promise.resolve();
      },
      stop: () => polls.stop(),
    };
  },
});
