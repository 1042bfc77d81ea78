/**
 * The part of a chunked body that arrives while its request waits for those
 * before it. Node keeps each chunk as an object of its own until somebody reads
 * it, and chunks may be of one byte.
 */
import type {IncomingMessage} from 'node:http';
import {ByteCollector} from './byte_collector.js';

/** By their messages, until the bodies are read. */
const EARLY_BODIES = new WeakMap<IncomingMessage, EarlyBody>();

/** What has arrived of a body. */
export class EarlyBody {
  private readonly collector = new ByteCollector();

  private constructor(
    private readonly message: IncomingMessage,
    private readonly handleGrowth: (bytes: number) => void,
  ) {
    message.on('data', this.add);
  }

  /**
   * Starts to collect the body of a message; undefined unless it is chunked.
   *
   * @param handleGrowth Called with the memory that it takes in addition.
   */
  static tryStart(
    message: IncomingMessage,
    handleGrowth: (bytes: number) => void,
  ): EarlyBody | undefined {
    if (message.headers['transfer-encoding'] === undefined) return undefined;
    const body = new EarlyBody(message, handleGrowth);
    EARLY_BODIES.set(message, body);
    return body;
  }

  /** Takes the early part of a message's body; undefined if there is none. */
  static takeFrom(message: IncomingMessage): EarlyBody | undefined {
    const body = EARLY_BODIES.get(message);
    EARLY_BODIES.delete(message);
    return body;
  }

  /** The memory that it takes, in bytes. */
  get memoryBytes(): number {
    return this.collector.capacity;
  }

  /** The bytes that have arrived. */
  get bytes(): Buffer {
    return this.collector.getBytes();
  }

  /** Whether it is the whole body. */
  get isWhole(): boolean {
    return this.message.readableEnded;
  }

  /** Collects nothing more; the rest is left in the message. */
  stop(): void {
    this.message.off('data', this.add);
    this.message.pause();
  }

  private readonly add = (part: Buffer): void => {
    const {capacity} = this.collector;
    this.collector.add(part);
    this.handleGrowth(this.collector.capacity - capacity);
  };
}
