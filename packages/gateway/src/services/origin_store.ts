/**
 * Keeps the origins of streams in the store, where they outlive the loss of all
 * hosts. They are only needed while a service has several software versions
 * that may have begun a stream, or an unknown past; else nothing is written or
 * read. A stream that began before another version appeared needs its origin
 * from then on, so each host remembers the streams that it began.
 */
import {
  computeOriginIntervalMs,
  type OriginKey,
  type OriginRecord,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {TableStore} from '../model/table_store.js';
import type {VersionHistory} from '../serving/version_history.js';
import {OriginReader, type StoredOrigins} from './origin_reader.js';
import {OriginWriter} from './origin_writer.js';

/** The time between two removals of streams that are over, in ms. */
const SWEEP_INTERVAL_MS = 5000;
/** The maximum number of streams of a service that are not saved. */
const MAX_BEGUN = 20_000;

/** Dependencies of the store of origins. */
export interface OriginStoreParts {
  readonly host: string;
  readonly incarnation: number;
  readonly store: Pick<TableStore, 'readAll' | 'writeAll'>;
  readonly versions: Pick<VersionHistory, 'listPossible'>;
  readonly clock: Pick<Clock, 'getNow' | 'getWallNow' | 'wait'>;
  readonly log: Logger;
  /** Counts the live hosts, this one included. */
  readonly countHosts: () => number;
  /** Counts a call to the store. */
  readonly recordCall: (call: 'read' | 'write', isOk: boolean) => void;
}

/** A stream that this host began. */
interface BegunStream {
  readonly record: OriginRecord;
  readonly expiresAt: number;
}

/** Saves and looks up origins. */
export class OriginStore {
  private readonly writer: OriginWriter;
  private readonly reader: OriginReader;
  /** Streams that are not saved, by service, the oldest first. */
  private readonly begun = new Map<string, Set<BegunStream>>();
  /** Services whose origins are saved. */
  private readonly saving = new Set<string>();
  private sweptAt = 0;

  constructor(private readonly parts: OriginStoreParts) {
    const {countHosts, recordCall} = parts;
    const getIntervalMs = (): number => computeOriginIntervalMs(countHosts());
    this.writer = new OriginWriter({
      ...parts,
      getIntervalMs,
      recordCall: (isOk) => {
        recordCall('write', isOk);
      },
    });
    this.reader = new OriginReader({
      ...parts,
      getIntervalMs,
      recordCall: (isOk) => {
        recordCall('read', isOk);
      },
    });
  }

  /** The number of streams whose origins wait to be written. */
  get unsaved(): number {
    return this.writer.unsaved;
  }

  /** Saves the origin of a stream if its version may be in doubt later. */
  save(record: OriginRecord): void {
    if (this.isNeeded(record.service)) {
      this.writer.saveAll([record]);
      return;
    }
    const {service} = record;
    const expiresAt = this.parts.clock.getNow() + record.remainingMs;
    const streams = this.begun.get(service) ?? new Set();
    this.begun.set(service, streams.add({record, expiresAt}));
    const [oldest] = streams;
    if (oldest !== undefined && streams.size > MAX_BEGUN) {
      streams.delete(oldest);
    }
  }

  /** Looks an origin up; waits for a read for a bounded time. */
  find(key: OriginKey): Promise<StoredOrigins> {
    return this.reader.find(key);
  }

  /** Saves the begun streams of services that have several versions now. */
  startHeartbeat(): void {
    for (const service of this.begun.keys()) {
      if (this.isNeeded(service)) this.saveBegun(service);
    }
    const now = this.parts.clock.getNow();
    if (now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    for (const [service, streams] of this.begun) {
      for (const stream of streams) {
        if (stream.expiresAt <= now) streams.delete(stream);
      }
      if (streams.size === 0) this.begun.delete(service);
    }
    this.writer.deleteExpired();
    this.reader.dropUnused();
  }

  /** Writes all origins again, as the store was restored from a backup. */
  saveAgain(): void {
    this.writer.saveAgain();
  }

  /** Writes what waits, once, and ends. */
  stop(): Promise<void> {
    return this.writer.stop();
  }

  private saveBegun(service: string): void {
    const now = this.parts.clock.getNow();
    const records: OriginRecord[] = [];
    for (const {record, expiresAt} of this.begun.get(service) ?? []) {
      const remainingMs = expiresAt - now;
      if (remainingMs > 0) records.push({...record, remainingMs});
    }
    this.begun.delete(service);
    this.writer.saveAll(records);
  }

  private isNeeded(service: string): boolean {
    const possible = this.parts.versions.listPossible(service);
    const isNeeded = possible?.length !== 1;
    if (isNeeded === this.saving.has(service)) return isNeeded;
    if (isNeeded) this.saving.add(service);
    else this.saving.delete(service);
    this.parts.log.writeInfo(
      isNeeded
        ? 'Started to save the origins of streams.'
        : 'Stopped saving the origins of streams.',
      {service, versions: possible?.join() ?? 'unknown'},
    );
    return isNeeded;
  }
}
