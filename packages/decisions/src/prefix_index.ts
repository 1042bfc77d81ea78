/**
 * Which prompt prefixes an endpoint probably has cached. Cache events come
 * late and with gaps, so the index is a hint only: it may be wrong in both
 * directions, and a wrong hint costs a prefill, never an answer.
 */

/** A block of a prompt that an endpoint stored or dropped. */
export interface BlockEvent {
  readonly block: string;
  readonly stored: boolean;
}

/** Prefix blocks by endpoint, bounded. */
export class PrefixIndex {
  private readonly blocks = new Map<string, Set<string>>();

  constructor(private readonly maxBlocksPerEndpoint: number) {}

  /** Takes what an endpoint published. */
  applyEvents(endpoint: string, events: readonly BlockEvent[]): void {
    for (const event of events) {
      if (event.stored) this.add(endpoint, event.block);
      else this.blocks.get(endpoint)?.delete(event.block);
    }
  }

  /** Notes that a prompt with these blocks was sent to an endpoint. */
  addBlocks(endpoint: string, blocks: readonly string[]): void {
    for (const block of blocks) this.add(endpoint, block);
  }

  /** Forgets an endpoint: it is gone, restarted, or events were missed. */
  dropEndpoint(endpoint: string): void {
    this.blocks.delete(endpoint);
  }

  /** Counts the leading blocks that the endpoint probably has. */
  countHits(endpoint: string, blocks: readonly string[]): number {
    const held = this.blocks.get(endpoint);
    if (held === undefined) return 0;
    let hits = 0;
    for (const block of blocks) {
      if (!held.has(block)) return hits;
      hits++;
    }
    return hits;
  }

  private add(endpoint: string, block: string): void {
    const held = this.blocks.get(endpoint) ?? new Set<string>();
    this.blocks.set(endpoint, held);
    // Added again, it counts as the most recently used.
    held.delete(block);
    held.add(block);
    if (held.size <= this.maxBlocksPerEndpoint) return;
    for (const oldest of held) {
      held.delete(oldest);
      return;
    }
  }
}
