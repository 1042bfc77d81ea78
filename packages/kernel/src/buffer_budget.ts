/**
 * Bounds the memory of all answers that are being read, however many there are.
 * Beyond the bound the largest one is ended: most answers are small, and an
 * endpoint that sends without end soon has the largest.
 */

/**
 * A quarter of the 128 MiB of a host may go to answers, half of it to blocks
 * that have just been replaced by larger ones. Two of the longest answers fit.
 */
const MAX_BUFFERED_BYTES = 16_777_216;

/** The part of the memory that one answer holds. */
export interface BufferHold {
  /** Sets how many bytes the answer holds now. */
  set(bytes: number): void;
  /** Gives them all back. */
  close(): void;
}

interface OpenHold {
  bytes: number;
  readonly handleExcess: () => void;
}

/** The memory for answers that are being read. */
export class BufferBudget {
  private readonly holds = new Set<OpenHold>();
  private heldBytes = 0;

  /** @param maxBytes The most bytes that all holds may have together. */
  constructor(private readonly maxBytes: number = MAX_BUFFERED_BYTES) {}

  /** The bytes of all holds. */
  get totalBytes(): number {
    return this.heldBytes;
  }

  /**
   * Opens a hold without any bytes.
   *
   * @param handleExcess Called when the answer must end, as it is the largest;
   *     its hold is closed by then.
   */
  open(handleExcess: () => void): BufferHold {
    const hold: OpenHold = {bytes: 0, handleExcess};
    this.holds.add(hold);
    return {
      set: (bytes) => {
        this.setBytes(hold, bytes);
      },
      close: () => {
        this.drop(hold);
      },
    };
  }

  private setBytes(hold: OpenHold, bytes: number): void {
    if (bytes === hold.bytes || !this.holds.has(hold)) return;
    this.heldBytes += bytes - hold.bytes;
    hold.bytes = bytes;
    while (this.heldBytes > this.maxBytes) {
      const largest = this.findLargest();
      if (largest === undefined) return;
      this.drop(largest);
      largest.handleExcess();
    }
  }

  private drop(hold: OpenHold): void {
    if (!this.holds.delete(hold)) return;
    this.heldBytes -= hold.bytes;
  }

  private findLargest(): OpenHold | undefined {
    let largest: OpenHold | undefined;
    for (const hold of this.holds) {
      if (hold.bytes > (largest?.bytes ?? -1)) largest = hold;
    }
    return largest;
  }
}
