/** An index of the rows in the store's table of crashes, by content. */
import type {Crash, ReplicaRow} from '@irisdock/decisions';
import {parseCrashKey} from '../model/crash_row.js';

/** A row that was written or deleted. */
export interface CrashRow {
  readonly crash: Crash;
  readonly isPresent: boolean;
}

/** Finds the rows of a content without a scan of all rows. */
export class CrashRowIndex {
  private readonly keys = new Map<string, Set<string>>();

  /** Applies changed rows; returns those whose keys are valid. */
  apply(rows: readonly ReplicaRow[]): CrashRow[] {
    const found: CrashRow[] = [];
    for (const {key, value} of rows) {
      const crash = parseCrashKey(key);
      if (crash === undefined) continue;
      const isPresent = value !== undefined;
      if (isPresent) this.add(crash.content, key);
      else this.delete(crash.content, key);
      found.push({crash, isPresent});
    }
    return found;
  }

  /** Lists the keys of a content's rows. */
  listKeys(content: string): string[] {
    return [...(this.keys.get(content) ?? [])];
  }

  /** Lists the crashes that have rows. */
  listCrashes(): Crash[] {
    const crashes: Crash[] = [];
    for (const keys of this.keys.values()) {
      for (const key of keys) {
        const crash = parseCrashKey(key);
        if (crash !== undefined) crashes.push(crash);
      }
    }
    return crashes;
  }

  /** Lists the contents that have rows. */
  listContents(): string[] {
    return [...this.keys.keys()];
  }

  private add(content: string, key: string): void {
    const keys = this.keys.get(content) ?? new Set<string>();
    this.keys.set(content, keys.add(key));
  }

  private delete(content: string, key: string): void {
    const keys = this.keys.get(content);
    keys?.delete(key);
    if (keys?.size === 0) this.keys.delete(content);
  }
}
