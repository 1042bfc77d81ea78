/**
 * A host's record of a request that it runs or ran: the tokens generated here,
 * their endpoint and the request's state. Answers are resumed from it, and
 * requests that were sent twice are recognized by it.
 */
import type {ResumeData} from '@irisdock/decisions';
import type {GenerationSpec} from '@irisdock/resources';
import {DriverLock} from './driver_lock.js';

/** A validated request for text generation. */
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
  /** The longest wait in the queue, in milliseconds. */
  readonly maxQueueMs: number;
  /** A digest of what determines the answer: service, prompt, limits. */
  readonly digest: string;
}

/** The state of a request on this host. */
export type RecordState = 'dropped' | 'ended' | 'running';

/** The record of a request on this host. */
export class RequestRecord {
  state: RecordState = 'running';
  endReason = '';
  generation = 0;
  /** How often the request has been taken over between hosts. */
  takeover = 0;
  attempts = 0;
  /** Whether an order for it may have reached an engine. */
  mayHaveRun = false;
  /** The address of the endpoint that runs the current generation. */
  endpoint = '';
  /** Held by the driver that runs it. */
  readonly lock = new DriverLock();
  private tokens: string[] = [];

  /**
   * @param name The record's name, unique among the request's records on all
   *     hosts.
   * @param first The offset of the first token in this record.
   * @param textBefore The text before that token; undefined if only the caller
   *     has it.
   */
  constructor(
    readonly request: GenerationRequest,
    readonly name: string,
    private first: number,
    private textBefore: string | undefined,
  ) {}

  /** Describes the record for a host that takes the answer over. */
  toResumeData(): ResumeData {
    const {request, generation, endpoint, name} = this;
    const {id, digest, spec} = request;
    const {modelVersion} = spec;
    return {
      request: id,
      generation,
      endpoint,
      digest,
      record: name,
      modelVersion,
    };
  }

  /** The offset of the first token in this record. */
  get firstOffset(): number {
    return this.first;
  }

  /** The offset of the next token. */
  get nextOffset(): number {
    return this.first + this.tokens.length;
  }

  /** The text so far; undefined if part of it is not known here. */
  get text(): string | undefined {
    return this.getTextBefore(this.nextOffset);
  }

  /** Returns the text before an offset; undefined if it is not known here. */
  getTextBefore(offset: number): string | undefined {
    if (this.textBefore === undefined || offset < this.first) return undefined;
    return this.textBefore + this.tokens.slice(0, offset - this.first).join('');
  }

  /** Appends a token. */
  addToken(text: string): void {
    this.tokens.push(text);
  }

  /** Returns the tokens from an offset on. */
  getTokensFrom(offset: number): readonly string[] {
    return this.tokens.slice(Math.max(0, offset - this.first));
  }

  /** Discards the tokens once no caller can ask for them any more. */
  dropTokens(): void {
    this.first = this.nextOffset;
    this.textBefore = undefined;
    this.tokens = [];
  }
}
