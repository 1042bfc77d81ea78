/** One generation on the engine stand-in: its tokens and who reads them. */
import type {ServerResponse} from 'node:http';
import {formatEvent, startEvents} from '@irisdock/web';
import * as z from 'zod';
import type {EngineFaults} from './faults.js';
import {TextChain} from './text.js';

/** The order to start, continue or attach to a generation. */
export const STREAM_SCHEMA = z.object({
  mode: z.enum(['start', 'continue', 'attach']),
  request: z.string(),
  generation: z.number().int().min(1),
  prompt: z.string(),
  /** The text that was passed on; empty for a start. */
  received: z.string().default(''),
  /** The offset of the first token wanted. */
  offset: z.number().int().min(0),
  maxTokens: z.number().int().min(1),
  priority: z.number().int().default(0),
  model: z.string(),
  adapter: z.string().optional(),
});
/** A checked stream order. */
export type StreamOrder = z.infer<typeof STREAM_SCHEMA>;

/** A generation; goes on without a reader until the engine drops it. */
export class Generation {
  readonly tokens: string[] = [];
  readonly first: number;
  prefillLeftMs = 0;
  /** When its last reader went away; undefined while one reads. */
  unreadSince: number | undefined;
  private readonly chain: TextChain;
  private reader: ServerResponse | undefined;
  private next = 0;

  constructor(
    readonly order: StreamOrder,
    public generation: number,
  ) {
    this.chain = new TextChain(order.prompt);
    this.chain.addText(order.received);
    this.first = order.offset;
  }

  /** Whether all tokens have been made. */
  get ended(): boolean {
    return this.first + this.tokens.length >= this.order.maxTokens;
  }

  /** Makes a token. */
  step(engine: string): void {
    this.tokens.push(this.chain.createToken(engine));
  }

  /** Takes over as reader from an offset on; the reader before is cut. */
  setReader(reader: ServerResponse, generation: number, offset: number): void {
    this.reader?.end(formatEvent({event: 'superseded', data: '{}'}));
    this.generation = generation;
    this.reader = reader;
    this.next = offset - this.first;
    this.unreadSince = undefined;
    startEvents(reader);
    reader.on('close', () => {
      if (this.reader !== reader) return;
      this.reader = undefined;
      this.unreadSince = Date.now();
    });
  }

  /** Ends for good. */
  cancel(): void {
    this.reader?.end(formatEvent({event: 'superseded', data: '{}'}));
    this.reader = undefined;
  }

  /** Sends what the reader has not got yet; true after the end was sent. */
  send(faults: EngineFaults): boolean {
    const {reader} = this;
    if (reader === undefined) return false;
    let wire = '';
    while (this.next < this.tokens.length) {
      wire += this.formatToken(faults);
      this.next++;
      if (faults.takeCut()) {
        reader.write(wire);
        reader.destroy();
        return false;
      }
    }
    if (wire !== '') reader.write(wire);
    if (!this.ended) return false;
    if (faults.takeLostEnd()) {
      reader.destroy();
      return false;
    }
    reader.end(this.formatEnd());
    return true;
  }

  private formatToken(faults: EngineFaults): string {
    const offset = this.first + this.next;
    const text = this.tokens[this.next] ?? '';
    const {request} = this.order;
    const {generation} = this;
    return faults
      .apply({request, generation, offset, text})
      .map((token) =>
        formatEvent({event: 'token', data: JSON.stringify(token)}),
      )
      .join('');
  }

  private formatEnd(): string {
    const {request, maxTokens} = this.order;
    const {generation} = this;
    const end = {request, generation, count: maxTokens, reason: 'length'};
    return formatEvent({event: 'end', data: JSON.stringify(end)});
  }
}
