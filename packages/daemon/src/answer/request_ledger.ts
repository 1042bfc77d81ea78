/**
 * Which requests this host has started, for as long as their ids may still
 * come again. An entry leaves only by age, or when nothing of it ran.
 */

/** What is kept of any request. */
export interface LedgerEntry<T> {
  readonly value: T;
  readonly addedAtMs: number;
}

/** Requests by id, forgotten by age. */
export class RequestLedger<T> {
  private readonly entries = new Map<string, LedgerEntry<T>>();

  constructor(
    private readonly keepMs: number,
    private readonly onForget: (value: T) => boolean,
  ) {}

  /** The number of requests kept. */
  get size(): number {
    return this.entries.size;
  }

  /** Finds a request. */
  find(id: string): T | undefined {
    return this.entries.get(id)?.value;
  }

  /** Adds a request. */
  add(id: string, value: T, now: number): void {
    // Taken out first, so that entries stay in the order of their age.
    this.entries.delete(id);
    this.entries.set(id, {value, addedAtMs: now});
  }

  /** Takes out a request of which nothing ran, unless it is another now. */
  remove(id: string, value: T): void {
    if (this.find(id) === value) this.entries.delete(id);
  }

  /** Forgets what is old, unless `onForget` says that it still runs. */
  dropExpired(now: number): void {
    for (const [id, {value, addedAtMs: addedAt}] of this.entries) {
      // Entries are in the order of their age.
      if (now - addedAt < this.keepMs) return;
      if (this.onForget(value)) this.entries.delete(id);
    }
  }

  /** Lists the requests. */
  list(): T[] {
    return [...this.entries.values()].map((entry) => entry.value);
  }
}
