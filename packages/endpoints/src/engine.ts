/** A model engine, as the system uses it. */
import type {KnownError} from '@irisdock/kernel';
import type {Result} from 'neverthrow';
import type {EndpointErrorKind} from './errors.js';

/** An error of an endpoint. */
export type EndpointError = KnownError<EndpointErrorKind>;

/** What generation is asked for. */
export interface StreamOrder {
  /**
   * `start` from the prompt, `continue` from the text passed on, or `attach`
   * to the generation that the engine still runs.
   */
  readonly mode: 'attach' | 'continue' | 'start';
  readonly request: string;
  readonly generation: number;
  readonly prompt: string;
  /** The text that was passed on before `offset`. */
  readonly received: string;
  /** The offset of the first token wanted. */
  readonly offset: number;
  readonly maxTokens: number;
  readonly priority: number;
  readonly model: string;
  readonly adapter?: string;
}

/** What comes out of a stream. */
export type StreamEvent =
  | {
      readonly type: 'end';
      readonly request: string;
      readonly generation: number;
      readonly count: number;
      readonly reason: string;
    }
  | {readonly type: 'superseded'}
  | {
      readonly type: 'token';
      readonly request: string;
      readonly generation: number;
      readonly offset: number;
      readonly text: string;
    };

/** A stream that was opened. */
export interface EngineStream {
  /**
   * Events in batches, as they arrived together. Ends when the connection
   * does, whether an end event came or not; throws when it breaks.
   */
  readonly batches: AsyncIterable<readonly StreamEvent[]>;
  /** Closes the connection; the engine may go on. */
  close(): void;
}

/** An endpoint's load, by its own word. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** How old the report was when it was given, in milliseconds. */
  readonly ageMs: number;
}

/** Prefix blocks that were stored or dropped. */
export interface CachePage {
  readonly events: readonly {
    readonly sequence: number;
    readonly block: string;
    readonly stored: boolean;
  }[];
  /** What to ask from next. */
  readonly next: number;
  /** Whether events were missed. */
  readonly gap: boolean;
}

/** An order with its fencing number. */
export interface EngineOrder {
  readonly fence: number;
  readonly action:
    'drop_adapter' | 'drop_model' | 'load_adapter' | 'load_model' | 'set_role';
  readonly target: string;
}

/** A model engine. */
export interface Engine {
  /** Opens a stream; resolves when the engine has accepted it. */
  openStream(
    order: StreamOrder,
    signal: AbortSignal,
  ): Promise<Result<EngineStream, EndpointError>>;
  /** Stops what a request has running below a generation number. */
  cancel(request: string, below: number): Promise<Result<void, EndpointError>>;
  getLoad(timeoutMs: number): Promise<Result<LoadReport, EndpointError>>;
  getCacheEvents(
    after: number,
    timeoutMs: number,
  ): Promise<Result<CachePage, EndpointError>>;
  sendOrder(order: EngineOrder): Promise<Result<void, EndpointError>>;
  /** Gives the prompt's blocks as the engine names them in cache events. */
  listBlocks(prompt: string): string[];
  close(): Promise<void>;
}
