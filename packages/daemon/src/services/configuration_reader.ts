/**
 * The service `reader`: reads configuration changes from the platform's table.
 * The total polling rate of all hosts is bounded regardless of their number.
 * Hosts forward changes to each other, so a change reaches every host without
 * each of them polling at the full rate.
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

const PAGE_ROWS = 500;
const MAX_LOAD_ATTEMPTS = 5;

/** Reads the table and applies its changes to the configuration. */
export class ConfigurationReader {
  private currentRead: Promise<void> | undefined;
  private isUnavailable = false;

  constructor(
    private readonly table: TableService,
    private readonly configuration: Configuration,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  /** Reads new changes; concurrent calls share one read. */
  async readUpdates(): Promise<void> {
    this.currentRead ??= this.readOnce().finally(() => {
      this.currentRead = undefined;
    });
    await this.currentRead;
  }

  private async readOnce(): Promise<void> {
    const startedAt = this.now();
    const head = await this.readHeadRevision();
    if (head === undefined) return;
    const {revision} = this.configuration;
    if (head < revision) {
      // The platform lost accepted changes; the active configuration is kept.
      this.log.writeError('The table reported an older revision.', {
        head,
        inForce: revision,
      });
      return;
    }
    const caughtUp =
      head === revision ||
      (revision === 0 ? await this.load() : await this.readChanges(head));
    if (caughtUp) this.configuration.recordTableContact(this.now() - startedAt);
  }

  private async readHeadRevision(): Promise<number | undefined> {
    const rows = await this.table.readRows([HEAD_KEY]);
    this.reportAvailability(
      rows.isErr(),
      rows.isErr() ? rows.error.message : '',
    );
    return rows.isOk() ? readHeadRevision(rows.value[0]) : undefined;
  }

  /** Logs only the transitions between available and unavailable. */
  private reportAvailability(isUnavailable: boolean, error: string): void {
    if (isUnavailable === this.isUnavailable) return;
    this.isUnavailable = isUnavailable;
    if (isUnavailable) this.log.writeWarning('Table unavailable.', {error});
    else this.log.writeInfo('Table available again.');
  }

  private async readChanges(head: number): Promise<boolean> {
    while (this.configuration.revision < head) {
      const before = this.configuration.revision;
      const rows = await this.table.scanRows({
        from: getChangeRowKey(before + 1),
        until: CHANGE_RANGE_END,
        limit: PAGE_ROWS,
      });
      if (rows.isErr()) return false;
      if (!this.configuration.applyChanges(rows.value.map(readChange))) {
        return this.load();
      }
      if (this.configuration.revision === before) return this.load();
    }
    return true;
  }

  /**
   * Loads all resources as a snapshot. The snapshot is consistent only if the
   * head revision is the same before and after the read.
   */
  private async load(): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt++) {
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
      const rows = await this.table.scanRows({from, until, limit: PAGE_ROWS});
      if (rows.isErr()) return undefined;
      for (const row of rows.value) resources.push(readResource(row));
      const last: TableRow | undefined = rows.value.at(-1);
      if (rows.value.length < PAGE_ROWS || last === undefined) return resources;
      from = `${last.key}\u0000`;
    }
  }
}

/** The key of the service. */
export const READER = createServiceKey<ConfigurationReader>('reader');

const SETTINGS = z.object({
  pollMs: z.coerce.number().int().min(50).default(1000).meta({
    unit: 'ms',
    description: 'Minimum interval between two reads of the head row.',
  }),
  fleetPollsPerSecond: z.coerce.number().min(1).default(40).meta({
    unit: 'reads/s',
    description: 'Maximum rate of head row reads by all hosts together.',
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
        const sharedPollMs = (heard * 1000) / fleetPollsPerSecond;
        const jitter = 0.75 + context.random.getInt(500) / 1000;
        const waitMs = Math.max(pollMs, sharedPollMs) * jitter;
        return context.clock.wait(waitMs, signal);
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
