/**
 * What a host keeps of a request it runs or ran: the tokens made here, where
 * they come from, and how it stands. From it an answer is taken up again, and
 * a request that was sent twice is recognised.
 */
import type {GenerationSpec} from '@irisdock/resources';
import {DriverLock} from './driver_lock.js';

/** A checked request for text. */
export interface GenerationRequest {
  readonly id: string;
  readonly service: string;
  readonly spec: GenerationSpec;
  readonly adapter: string | undefined;
  readonly team: string;
  readonly weight: number;
  readonly maxInFlight: number;
  readonly priority: number;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly repeatable: boolean;
  /** How long it may wait before it starts, in milliseconds. */
  readonly maxQueueMs: number;
  /** A digest of what makes the answer: service, prompt, bounds. */
  readonly digest: string;
}

/** How a request stands on this host. */
export type RecordState = 'dropped' | 'ended' | 'running';

/** A request on this host. */
export class RequestRecord {
  state: RecordState = 'running';
  endReason = '';
  generation = 0;
  /** Take-overs between hosts before this one. */
  takeover = 0;
  attempts = 0;
  /** Whether an order for it may have reached an engine. */
  mayHaveRun = false;
  /** The endpoint that runs its present generation. */
  endpoint = '';
  /** Held by the driver that runs it. */
  readonly lock = new DriverLock();
  private tokens: string[] = [];

  /**
   * @param name Its own, among all records of the request on any host.
   * @param first The offset of the first token kept here.
   * @param textBefore The text before it; undefined when only the caller
   *     has it.
   */
  constructor(
    readonly request: GenerationRequest,
    readonly name: string,
    private first: number,
    private textBefore: string | undefined,
  ) {}

  /** The offset of the first token that is kept. */
  get firstOffset(): number {
    return this.first;
  }

  /** The offset of the token that comes next. */
  get nextOffset(): number {
    return this.first + this.tokens.length;
  }

  /** The text so far; undefined when a part of it is not known here. */
  get text(): string | undefined {
    return this.getTextBefore(this.nextOffset);
  }

  /** Gives the text before an offset; undefined when it is not known here. */
  getTextBefore(offset: number): string | undefined {
    if (this.textBefore === undefined || offset < this.first) return undefined;
    return this.textBefore + this.tokens.slice(0, offset - this.first).join('');
  }

  /** Keeps a token. */
  addToken(text: string): void {
    this.tokens.push(text);
  }

  /** Gives the tokens from an offset on. */
  getTokensFrom(offset: number): readonly string[] {
    return this.tokens.slice(Math.max(0, offset - this.first));
  }

  /** Forgets the tokens, when nobody will ask for them any more. */
  dropTokens(): void {
    this.first = this.nextOffset;
    this.textBefore = undefined;
    this.tokens = [];
  }
}
