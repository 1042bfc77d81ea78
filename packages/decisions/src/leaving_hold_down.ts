/**
 * Damps state changes in a host list that is stale and may contradict itself:
 * it can name an address twice, or come from replicas of different age, so
 * that a leaving host looks live again in the next read. An address that was
 * seen leaving counts as leaving for a hold-down time: work sent to a leaving
 * host is lost, work sent elsewhere is not. See
 * docs/design/endpoint_choice.md.
 */

/** An entry of the list. */
export interface AddressState {
  readonly address: string;
  readonly state: 'leaving' | 'live';
}

/** Holds addresses in the leaving state after they were last seen leaving. */
export class LeavingHoldDown<T extends AddressState> {
  private readonly seenAt = new Map<string, number>();

  /** @param holdMs The hold-down time, in ms. */
  constructor(private readonly holdMs: number) {}

  /** Merges a list as read into one entry for each address. */
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
