/**
 * The engine stand-in's core: batches generations in steps, charges prefill
 * for prompt blocks that are not cached, and keeps a generation that lost its
 * reader for a while so that another can attach.
 */
import type {ServerResponse} from 'node:http';
import {EngineFaults} from './faults.js';
import {Generation, type StreamOrder} from './generation.js';
import {PrefixCache} from './prefix_cache.js';

/** How fast and how large the engine is. */
export interface EngineOptions {
  readonly name: string;
  readonly slots: number;
  readonly queue: number;
  readonly stepMs: number;
  readonly prefillMsPerBlock: number;
  readonly cacheBlocks: number;
  readonly cacheLagMs: number;
  readonly loadLagMs: number;
  readonly keepMs: number;
}

/** Why a stream order is refused. */
export type StreamRefusal = 'full' | 'superseded' | 'unknown_stream';

/** Counts a test reads. */
export interface RequestCounts {
  starts: number;
  continues: number;
  attaches: number;
  tokens: number;
}

interface Load {
  readonly at: number;
  readonly running: number;
  readonly queued: number;
}

const CACHE_EVENTS = 2000;

/** A model engine in memory. */
export class Engine {
  readonly faults = new EngineFaults();
  readonly cache: PrefixCache;
  readonly counts = new Map<string, RequestCounts>();
  private readonly running = new Map<string, Generation>();
  private readonly queue: Generation[] = [];
  private readonly bars = new Map<string, number>();
  private loads: Load[] = [];

  constructor(private readonly options: EngineOptions) {
    const {cacheBlocks, cacheLagMs} = options;
    this.cache = new PrefixCache(cacheBlocks, CACHE_EVENTS, cacheLagMs);
  }

  /** Carries out a stream order, or says why not. */
  acceptStream(
    order: StreamOrder,
    reader: ServerResponse,
  ): StreamRefusal | undefined {
    const bar = this.bars.get(order.request) ?? 0;
    if (order.generation < bar) return 'superseded';
    const held = this.find(order.request);
    if (order.mode === 'attach') {
      if (held === undefined) return 'unknown_stream';
      if (order.offset < held.first) return 'unknown_stream';
      this.bars.set(order.request, order.generation);
      this.count(order.request).attaches++;
      held.setReader(reader, order.generation, order.offset);
      return undefined;
    }
    if (this.isFull()) return 'full';
    this.bars.set(order.request, order.generation);
    if (held !== undefined) this.drop(held);
    this.add(order, reader);
    return undefined;
  }

  /** Cancels what a request has running below a generation number. */
  cancel(request: string, below: number): void {
    this.bars.set(request, Math.max(below, this.bars.get(request) ?? 0));
    const held = this.find(request);
    if (held !== undefined && held.generation < below) this.drop(held);
  }

  /** Makes one token for every running generation. */
  step(nowMs: number): void {
    this.recordLoad(nowMs);
    this.dropUnread(nowMs);
    this.startQueued(nowMs);
    if (this.faults.stall) return;
    for (const generation of [...this.running.values()]) {
      this.stepOne(generation);
    }
  }

  /** Gives the load as it was one lag ago. */
  getLoad(nowMs: number): Load {
    const until = nowMs - this.options.loadLagMs;
    while (this.loads.length > 1 && (this.loads[1]?.at ?? 0) <= until) {
      this.loads.shift();
    }
    return this.loads[0] ?? {at: nowMs, running: 0, queued: 0};
  }

  private add(order: StreamOrder, reader: ServerResponse): void {
    const counts = this.count(order.request);
    if (order.mode === 'start') counts.starts++;
    else counts.continues++;
    const generation = new Generation(order, order.generation);
    generation.setReader(reader, order.generation, order.offset);
    this.queue.push(generation);
    this.queue.sort((a, b) => b.order.priority - a.order.priority);
    this.startQueued(Date.now());
  }

  private startQueued(nowMs: number): void {
    while (this.running.size < this.options.slots) {
      const next = this.queue.shift();
      if (next === undefined) return;
      const {prompt, received} = next.order;
      const missing = this.cache.addBlocks(prompt + received, nowMs);
      next.prefillLeftMs = missing * this.options.prefillMsPerBlock;
      this.running.set(next.order.request, next);
    }
  }

  private stepOne(generation: Generation): void {
    if (generation.prefillLeftMs > 0) {
      generation.prefillLeftMs -= this.options.stepMs;
      return;
    }
    if (!generation.ended) {
      generation.step(this.options.name);
      this.count(generation.order.request).tokens++;
    }
    if (generation.send(this.faults)) this.drop(generation);
  }

  private dropUnread(nowMs: number): void {
    for (const generation of [...this.running.values(), ...this.queue]) {
      const since = generation.unreadSince;
      if (since === undefined || nowMs - since < this.options.keepMs) continue;
      this.drop(generation);
    }
  }

  private drop(generation: Generation): void {
    generation.cancel();
    this.running.delete(generation.order.request);
    const at = this.queue.indexOf(generation);
    if (at >= 0) this.queue.splice(at, 1);
  }

  private find(request: string): Generation | undefined {
    const queued = this.queue.find((g) => g.order.request === request);
    return this.running.get(request) ?? queued;
  }

  private isFull(): boolean {
    return this.queue.length >= this.options.queue;
  }

  private count(request: string): RequestCounts {
    const counts = this.counts.get(request) ?? {
      starts: 0,
      continues: 0,
      attaches: 0,
      tokens: 0,
    };
    this.counts.set(request, counts);
    return counts;
  }

  private recordLoad(nowMs: number): void {
    const running = this.running.size;
    this.loads.push({at: nowMs, running, queued: this.queue.length});
  }
}
