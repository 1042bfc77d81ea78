/**
 * Tracks which prompt prefixes an endpoint probably has cached. Cache events
 * arrive late and some are lost, so the index is only a hint: it may contain
 * blocks that were evicted and lack cached ones. A wrong hint costs a prefill
 * but never an answer.
 */

/** A block of a prompt that an endpoint cached or evicted. */
export interface BlockEvent {
  readonly block: string;
  readonly stored: boolean;
}

/** Cached prefix blocks of each endpoint, with an LRU bound per endpoint. */
export class PrefixIndex {
  private readonly blocks = new Map<string, Set<string>>();

  constructor(private readonly maxBlocksPerEndpoint: number) {}

  /** Applies cache events that an endpoint published. */
  applyEvents(endpoint: string, events: readonly BlockEvent[]): void {
    for (const event of events) {
      if (event.stored) this.add(endpoint, event.block);
      else this.blocks.get(endpoint)?.delete(event.block);
    }
  }

  /** Records that a prompt with these blocks was sent to an endpoint. */
  addBlocks(endpoint: string, blocks: readonly string[]): void {
    for (const block of blocks) this.add(endpoint, block);
  }

  /** Drops an endpoint that is gone, restarted, or has lost events. */
  dropEndpoint(endpoint: string): void {
    this.blocks.delete(endpoint);
  }

  /** Counts the leading blocks that the endpoint probably has cached. */
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
    // Reinserted last, as the most recently used.
    held.delete(block);
    held.add(block);
    if (held.size <= this.maxBlocksPerEndpoint) return;
    for (const oldest of held) {
      held.delete(oldest);
      return;
    }
  }
}
