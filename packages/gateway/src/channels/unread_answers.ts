/**
 * Bounds what waits for callers that read slowly or not at all. A caller has
 * the time of its request to take its answer. After that it must take a piece
 * every few seconds, and all that waits on a host fits a fixed memory.
 */
import type {ServerResponse} from 'node:http';
import {BufferBudget, type BufferHold, type Logger} from '@irisdock/kernel';
import type {Counter} from 'prom-client';
import {closeIncomplete} from './incomplete_answer.js';

/** How far a host waits for callers to read. */
export interface UnreadBounds {
  /** How long after its time a caller may leave a piece unread, in ms. */
  readonly maxStallMs: number;
  /** The most bytes that wait for all callers together. */
  readonly maxBytes: number;
}

/** The bounds of a host. */
export const UNREAD_BOUNDS: UnreadBounds = {
  // Callers on slow links may pause for some seconds while packets are lost.
  maxStallMs: 5000,
  // Apart from the memory for reading answers, which slow callers must not
  // take from others. Two of the longest answers fit.
  maxBytes: 16 * 1024 * 1024,
};

/**
 * The size of a piece, in bytes. As one is taken in each stall time at least,
 * the longest answer ends within 11 minutes after its time.
 */
const PIECE_BYTES = 65_536;

/** Why a connection with an unread answer was closed. */
export type UnreadEnd = 'memory' | 'time';

/** Dependencies of the unread answers. */
export interface UnreadAnswersParts {
  readonly bounds: UnreadBounds;
  readonly log: Logger;
  /** Counts closed connections by the reason. */
  readonly closes: Counter;
}

/** The answers of one host that their callers have not read. */
export class UnreadAnswers {
  private readonly buffers: BufferBudget;

  constructor(private readonly parts: UnreadAnswersParts) {
    this.buffers = new BufferBudget(parts.bounds.maxBytes);
  }

  /** The bytes that wait for callers. */
  get totalBytes(): number {
    return this.buffers.totalBytes;
  }

  /** Opens an answer that is to be sent. */
  open(response: ServerResponse): UnreadAnswer {
    const {buffers, parts} = this;
    return new UnreadAnswer(response, buffers, parts.bounds, (reason) => {
      this.record(reason, response);
    });
  }

  private record(reason: UnreadEnd, {req, socket}: ServerResponse): void {
    const {closes, log} = this.parts;
    closes.inc({reason});
    const sentence =
      'Closed a connection whose caller did not read its answer.';
    const caller = socket?.remoteAddress;
    log.writeInfo(sentence, {reason, path: req.url, caller});
  }
}

/** One answer, which its caller may read slowly. */
export class UnreadAnswer {
  private readonly hold: BufferHold;
  private isTimeOver = false;
  /** Whether nothing but the caller holds up the end of the answer. */
  private isEnding = false;
  private timer: NodeJS.Timeout | undefined;
  private check: NodeJS.Immediate | undefined;

  constructor(
    private readonly response: ServerResponse,
    buffers: BufferBudget,
    private readonly bounds: UnreadBounds,
    private readonly handleEnd: (reason: UnreadEnd) => void,
  ) {
    this.hold = buffers.open(() => {
      this.close('memory');
    });
    response.once('close', () => {
      this.hold.close();
      clearImmediate(this.check);
      clearTimeout(this.timer);
    });
  }

  /** Sends a body and ends the response. */
  send(body: Buffer): void {
    this.isEnding = true;
    this.startTimer();
    this.sendFrom(body, 0);
  }

  /** Ends the response; what was written before may still be unread. */
  end(): void {
    this.isEnding = true;
    this.startTimer();
    this.response.end();
    this.markWritten(this.response.writableLength);
  }

  /** Notes that written bytes may wait for the caller. */
  markWritten(bytes: number): void {
    clearImmediate(this.check);
    // What the kernel takes at once is not waiting.
    this.check = setImmediate(() => {
      this.hold.set(bytes);
    });
  }

  /** Notes that the caller has taken what was written. */
  markTaken(): void {
    clearImmediate(this.check);
    this.hold.set(0);
  }

  /** Notes that the time of the request is over. */
  markTimeOver(): void {
    this.isTimeOver = true;
    this.startTimer();
  }

  private sendFrom(body: Buffer, start: number): void {
    const {response} = this;
    let sent = start;
    while (sent + PIECE_BYTES < body.length) {
      const piece = body.subarray(sent, sent + PIECE_BYTES);
      sent += PIECE_BYTES;
      if (response.write(piece)) continue;
      this.markWritten(body.length);
      response.once('drain', () => {
        clearImmediate(this.check);
        this.startTimer();
        this.sendFrom(body, sent);
      });
      return;
    }
    response.end(body.subarray(sent));
    this.markWritten(body.length);
  }

  private startTimer(): void {
    clearTimeout(this.timer);
    if (!this.isTimeOver || !this.isEnding || this.response.closed) return;
    this.timer = setTimeout(() => {
      this.close('time');
    }, this.bounds.maxStallMs);
  }

  private close(reason: UnreadEnd): void {
    if (this.response.destroyed) return;
    this.handleEnd(reason);
    closeIncomplete(this.response);
  }
}
