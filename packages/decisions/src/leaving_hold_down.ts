/**
 * One word on each host out of a list that lags and may contradict itself: it
 * can name a host twice, or be read from copies of different age, so that a
 * host which leaves is live again in the next read. Whoever was seen leaving
 * counts as leaving for a while, as work sent to it is lost, and work kept
 * from it is not. docs/design/endpoint_choice.md.
 */

/** What the list says of one host. */
export interface AddressState {
  readonly address: string;
  readonly state: 'leaving' | 'live';
}

/** Remembers who was seen leaving. */
export class LeavingHoldDown<T extends AddressState> {
  private readonly seenAt = new Map<string, number>();

  /** @param holdMs How long one that was seen leaving counts as leaving. */
  constructor(private readonly holdMs: number) {}

  /** Takes a list as it was read; gives one entry for each address. */
  apply(list: readonly T[], now: number): T[] {
    for (const {address, state} of list) {
      if (state === 'leaving') this.seenAt.set(address, now);
    }
    this.dropOld(now);
    const merged = new Map<string, T>();
    for (const host of list) {
      const isLeaving = this.seenAt.has(host.address);
      const state = isLeaving ? 'leaving' : host.state;
      merged.set(host.address, {...host, state});
    }
    return [...merged.values()];
  }

  private dropOld(now: number): void {
    for (const [address, at] of this.seenAt) {
      if (now - at > this.holdMs) this.seenAt.delete(address);
    }
  }
}
