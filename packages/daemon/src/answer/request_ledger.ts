/**
 * The requests that this host has started, kept for as long as their ids may
 * arrive again. An entry is removed only by age or if nothing of it ran.
 */

/** An entry of the ledger. */
export interface LedgerEntry<T> {
  readonly value: T;
  readonly addedAtMs: number;
}

/** Requests by id, removed by age. */
export class RequestLedger<T> {
  private readonly entries = new Map<string, LedgerEntry<T>>();

  constructor(
    private readonly keepMs: number,
    private readonly canForget: (value: T) => boolean,
  ) {}

  /** The number of requests in the ledger. */
  get size(): number {
    return this.entries.size;
  }

  /** Finds a request. */
  find(id: string): T | undefined {
    return this.entries.get(id)?.value;
  }

  /** Adds a request. */
  add(id: string, value: T, now: number): void {
    // Removed first, so that the entries stay ordered by age.
    this.entries.delete(id);
    this.entries.set(id, {value, addedAtMs: now});
  }

  /** Removes a request of which nothing ran, unless it was replaced. */
  remove(id: string, value: T): void {
    if (this.find(id) === value) this.entries.delete(id);
  }

  /** Drops expired entries for which `canForget` returns true. */
  dropExpired(now: number): void {
    for (const [id, {value, addedAtMs: addedAt}] of this.entries) {
      // Entries are ordered by age.
      if (now - addedAt < this.keepMs) return;
      if (this.canForget(value)) this.entries.delete(id);
    }
  }

  /** Lists the requests. */
  list(): T[] {
    return [...this.entries.values()].map((entry) => entry.value);
  }
}
