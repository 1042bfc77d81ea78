/**
 * Collects the parts of a message in one block of memory. A list of the parts
 * would cost far more than their bytes when they are small, as each is an
 * object that keeps the block it was read into.
 */

const NO_BYTES = Buffer.alloc(0);

/** Collects bytes; each is copied a constant number of times on average. */
export class ByteCollector {
  private block = NO_BYTES;
  private size = 0;

  /** @param maxBytes The longest message that is expected, in bytes. */
  constructor(private readonly maxBytes = Infinity) {}

  /** The number of bytes collected. */
  get length(): number {
    return this.size;
  }

  /** The bytes of memory in use. */
  get capacity(): number {
    return this.block.length;
  }

  /** Adds a copy of a part. */
  add(part: Buffer): void {
    const needed = this.size + part.length;
    if (needed > this.block.length) {
      const doubled = Math.min(2 * this.size, this.maxBytes);
      const larger = Buffer.allocUnsafe(Math.max(needed, doubled));
      this.block.copy(larger, 0, 0, this.size);
      this.block = larger;
    }
    part.copy(this.block, this.size);
    this.size = needed;
  }

  /** Gives the bytes collected; those of a part added later are not in it. */
  getBytes(): Buffer {
    return this.block.subarray(0, this.size);
  }

  /** Starts over; what was given before stays as it is. */
  drop(): void {
    this.block = NO_BYTES;
    this.size = 0;
  }
}
