/**
 * Writes log lines to a file descriptor without ever holding up the caller:
 * lines are gathered for a moment, written in the background, and left out,
 * with a count, when there are too many or the reader does not keep up.
 */
import {createWriteStream, type WriteStream} from 'node:fs';

/** How a writer is bounded. */
export interface LineWriterOptions {
  /** The most lines taken in a second. */
  readonly maxLinesPerSecond: number;
  /** The most bytes that wait to be written. */
  readonly maxWaitingBytes: number;
}

/**
 * How long lines are gathered before they are written, in ms. Each write wakes a
 * thread and this one again, eight system calls in all, so that a busy host
 * writes four times a second, not twenty; a process that is killed loses the
 * lines of that time.
 */
const GATHER_MS = 250;
const SECOND_MS = 1000;

/** A bounded writer of lines. */
export class LineWriter {
  private readonly stream: WriteStream;
  private gathered: string[] = [];
  private gatheredBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  private secondStart = 0;
  private linesInSecond = 0;
  private leftOut = 0;

  /** @param fd Where lines go; it is not closed. */
  constructor(
    fd: number,
    private readonly options: LineWriterOptions,
    private readonly getNow: () => number,
  ) {
    this.stream = createWriteStream('', {fd, autoClose: false});
    // A reader that went away must not end the process.
    this.stream.on('error', () => undefined);
  }

  /** How many lines were left out so far and not yet told of. */
  get leftOutCount(): number {
    return this.leftOut;
  }

  /** Takes a line, without its line end. */
  write(line: string): void {
    if (!this.hasRoom(line)) {
      this.leftOut++;
      return;
    }
    this.gathered.push(line);
    this.gatheredBytes += line.length;
    this.timer ??= setTimeout(() => {
      this.writeGathered();
    }, GATHER_MS).unref();
  }

  /** Writes what was gathered; resolves once it was handed over. */
  async close(): Promise<void> {
    this.writeGathered();
    if (this.stream.writableLength === 0) return;
    await new Promise((resolve) => this.stream.write('', resolve));
  }

  private hasRoom(line: string): boolean {
    const now = this.getNow();
    if (now - this.secondStart >= SECOND_MS) {
      this.secondStart = now;
      this.linesInSecond = 0;
    }
    if (this.linesInSecond >= this.options.maxLinesPerSecond) return false;
    const waiting = this.stream.writableLength + this.gatheredBytes;
    if (waiting + line.length > this.options.maxWaitingBytes) return false;
    this.linesInSecond++;
    return true;
  }

  private writeGathered(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.leftOut > 0) {
      this.gathered.push(JSON.stringify({leftOutLines: this.leftOut}));
      this.leftOut = 0;
    }
    if (this.gathered.length === 0) return;
    this.stream.write(`${this.gathered.join('\n')}\n`);
    this.gathered = [];
    this.gatheredBytes = 0;
  }
}
