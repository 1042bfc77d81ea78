/** Reads the whole body of a request into memory. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BodyMemory} from './body_memory.js';
import type {BufferHold} from './buffer_budget.js';
import {BUFFER_COLLECTION} from './buffer_collection.js';
import {ByteCollector} from './byte_collector.js';
import {EarlyBody} from './early_body.js';
import {READ_TURNS} from './read_turns.js';

/** Matches the expectation among those of a request. */
const CONTINUE_EXPECTATION = /(?:^|\W)100-continue(?:$|\W)/iu;

/** What is read of a body before other connections have their turn, in bytes. */
const TURN_BYTES = 65_536;
/** A part takes as long to parse as so many bytes, however short it is. */
const PART_BYTES = 64;

/** Why a body could not be read. */
export type BodyFault = 'aborted' | 'cut' | 'no-memory' | 'too-large';

/** How a body is read. */
export interface BodyReading {
  /** The longest body that is accepted, in bytes. */
  readonly maxBytes: number;
  /** Ends the reading. */
  readonly signal: AbortSignal;
  /** The memory for the bodies of all requests. */
  readonly memory: BodyMemory;
}

/** Whether a body is known to be larger than this before it arrives. */
export function isLargerThan(
  message: IncomingMessage,
  maxBytes: number,
): boolean {
  return getDeclaredBytes(message) > maxBytes;
}

/** Whether the caller sends the body only once it is asked to go on. */
export function isContinueExpected(message: IncomingMessage): boolean {
  const {headers, httpVersion} = message;
  if (httpVersion === '1.0') return false;
  return CONTINUE_EXPECTATION.test(headers.expect ?? '');
}

/**
 * Reads a body up to a size. What has arrived of one that can't be read is not
 * kept, and the rest is left in the message. A body that was read holds its
 * memory until the response is closed.
 */
export async function readRequestBody(
  message: IncomingMessage,
  response: ServerResponse,
  reading: BodyReading,
): Promise<Buffer | BodyFault> {
  const early = EarlyBody.takeFrom(message);
  if (message.destroyed && early?.isWhole !== true) return 'cut';
  if (reading.signal.aborted) return 'aborted';
  return new Promise((resolve) => {
    new BodyReader(message, response, reading, resolve).start(early);
  });
}

/** Reads one body. */
class BodyReader {
  private readonly collector: ByteCollector;
  private readonly hold: BufferHold;
  private isFinished = false;
  /** What was read in this turn. */
  private turnBytes = 0;

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly reading: BodyReading,
    private readonly handleEnd: (result: Buffer | BodyFault) => void,
  ) {
    const {maxBytes, memory} = reading;
    this.collector = createCollector(message, maxBytes);
    this.hold = memory.open(maxBytes, () => {
      this.fail('no-memory');
    });
  }

  /** Reads what follows the part that has arrived early, if there is one. */
  start(early: EarlyBody | undefined): void {
    const {message, reading} = this;
    reading.signal.addEventListener('abort', this.failAborted);
    message
      .on('data', this.add)
      .once('end', this.finish)
      .once('close', this.failCut);
    if (early === undefined) return;
    this.add(early.bytes);
    if (early.isWhole) this.finish();
    else if (!this.isFinished) message.resume();
  }

  private readonly add = (part: Buffer): void => {
    const {collector, hold, reading} = this;
    BUFFER_COLLECTION.recordRead(part.length);
    this.takeTurn(part.length + PART_BYTES);
    if (collector.length + part.length > reading.maxBytes) {
      this.fail('too-large');
      return;
    }
    const {capacity} = collector;
    collector.add(part);
    if (collector.capacity === capacity) return;
    BUFFER_COLLECTION.recordRead(capacity);
    hold.set(collector.capacity);
  };

  private takeTurn(bytes: number): void {
    this.turnBytes += bytes;
    if (this.turnBytes < TURN_BYTES) return;
    this.turnBytes = 0;
    READ_TURNS.pause(this.message.socket);
  }

  private readonly finish = (): void => {
    if (this.isFinished) return;
    const {collector, hold, response} = this;
    hold.keep();
    response.once('close', () => {
      hold.close();
      BUFFER_COLLECTION.recordDropped(collector.capacity);
    });
    this.end(collector.getBytes());
  };

  private readonly failAborted = (): void => {
    this.fail('aborted');
  };

  private readonly failCut = (): void => {
    this.fail('cut');
  };

  private fail(fault: BodyFault): void {
    const {collector, hold, message} = this;
    message.pause();
    BUFFER_COLLECTION.recordDropped(collector.capacity);
    collector.drop();
    hold.close();
    this.end(fault);
  }

  private end(result: Buffer | BodyFault): void {
    const {message, reading} = this;
    this.isFinished = true;
    message
      .off('data', this.add)
      .off('end', this.finish)
      .off('close', this.failCut);
    reading.signal.removeEventListener('abort', this.failAborted);
    this.handleEnd(result);
  }
}

/** Creates a collector that takes no more memory than the body may need. */
function createCollector(
  message: IncomingMessage,
  maxBytes: number,
): ByteCollector {
  const declared = getDeclaredBytes(message);
  return new ByteCollector(declared > 0 ? declared : maxBytes);
}

/** Gives the Content-Length of a message; 0 if it has none. */
function getDeclaredBytes({headers}: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}
