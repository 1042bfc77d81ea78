/**
 * The prefix cache of the engine stand-in: blocks of prompt text, the least
 * recently used dropped first. Its events are published late and with gaps.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();
const BLOCK_CHARS = 64;

/** One block stored or dropped. */
export interface CacheEvent {
  readonly sequence: number;
  readonly block: string;
  readonly stored: boolean;
  /** When it becomes visible, in milliseconds of the wall clock. */
  readonly visibleAt: number;
}

/** What a reader of events gets. */
export interface CachePage {
  readonly events: readonly CacheEvent[];
  readonly next: number;
  /** Whether events after the asked sequence are gone. */
  readonly gap: boolean;
}

/** Gives the cumulative hash of each whole block of a prompt. */
export function listBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  let state = '';
  for (let at = 0; at + BLOCK_CHARS <= prompt.length; at += BLOCK_CHARS) {
    state = hasher.h64ToString(state + prompt.slice(at, at + BLOCK_CHARS));
    blocks.push(state);
  }
  return blocks;
}

/** Blocks in limited memory. */
export class PrefixCache {
  private readonly blocks = new Set<string>();
  private events: CacheEvent[] = [];
  private sequence = 0;
  /** Blocks that were asked for, and those of them that were missing. */
  readonly counts = {blocks: 0, missing: 0};

  constructor(
    private readonly maxBlocks: number,
    private readonly maxEvents: number,
    private readonly lagMs: number,
  ) {}

  /** Stores a prompt's blocks; gives how many of them were missing. */
  addBlocks(prompt: string, nowMs: number): number {
    let missing = 0;
    let hit = true;
    for (const block of listBlocks(prompt)) {
      hit = hit && this.blocks.has(block);
      this.counts.blocks++;
      if (!hit) missing++;
      if (!this.blocks.delete(block)) this.record(block, true, nowMs);
      this.blocks.add(block);
    }
    for (const block of this.blocks) {
      if (this.blocks.size <= this.maxBlocks) break;
      this.blocks.delete(block);
      this.record(block, false, nowMs);
    }
    this.counts.missing += missing;
    return missing;
  }

  /** Gives the visible events after a sequence number. */
  getEvents(after: number, nowMs: number): CachePage {
    const visible = this.events.filter((e) => e.visibleAt <= nowMs);
    const events = visible.filter((e) => e.sequence > after);
    const first = this.events[0]?.sequence ?? this.sequence + 1;
    const next = events.at(-1)?.sequence ?? Math.min(after, this.sequence);
    return {events, next, gap: first > after + 1};
  }

  private record(block: string, stored: boolean, nowMs: number): void {
    this.sequence++;
    const visibleAt = nowMs + this.lagMs;
    this.events.push({sequence: this.sequence, block, stored, visibleAt});
    if (this.events.length > this.maxEvents) {
      this.events = this.events.slice(this.events.length - this.maxEvents);
    }
  }
}
